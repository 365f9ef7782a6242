"""The coordinator's endpoint feed: numbered watch events, parsed and applied in order. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from .. import interface as api
from ..config.platform import Address, ConfigError, PlatformConfig, read_endpoint, read_finite
from ..config.policy_settings import InvalidMessageError
from ..core.clocks import InstantConverter, SteadyClock, UnixInstant, WallClock, read_wall_clock
from ..core.counters import Counters
from ..core.exchange import Exchange
from .address_holders import AddressHolders
from .feed_sync import FeedSync

MAX_REFETCHES = 3  # how often an event with an unusable part is fetched again
MIN_REFETCHES = 1  # the same, after fetching an earlier event again has not helped
INVALID = (ConfigError, InvalidMessageError, TypeError, ValueError, KeyError, AttributeError, OverflowError)

NO_GROUP = -1  # the group of a purge of one object, or of all objects

FeedMessage = dict[str, Any]  # one line of the feed, decoded from JSON


class FeedRecorder(Protocol):
    """Stores what the feed has applied, for the director's next start."""

    def record_event(self, event_index: int, event: FeedMessage) -> None:
        """Stores an event, without the parts that could not be used."""

    def forget_servers(self, uids: Iterable[str]) -> None:
        """Deletes stored servers that the coordinator has not told again."""

    def begin_epoch(self) -> None:
        """Forgets all stored servers and numbers: the coordinator has begun to count anew."""


class EndpointFeed:
    """Applies each event of the feed once and in order, however often it is received."""

    def __init__(
        self,
        exchange: Exchange,
        config: PlatformConfig,
        clock: SteadyClock,
        counters: Counters,
        wall_clock: WallClock = read_wall_clock,
    ) -> None:
        self.exchange, self.roles, self.clock, self.counters = exchange, config.roles, clock, counters
        self.instants = InstantConverter(clock, wall_clock)
        self.last_index = self.initial_index = 0
        self.is_resumed = False  # `last_index` was stored by a previous run
        self.sync: FeedSync | None = None  # while the director waits for the events of its start
        self.recorder: FeedRecorder | None = None
        self._initial_events: tuple[FeedMessage, ...] = ()  # of the configuration
        # Servers restored from events that the coordinator sends again, and has not sent yet.
        self._untold: set[str] = set()
        self._refetched = (0, 0)  # the last event with an unusable part, and how often it was fetched again
        self._max_refetches = MAX_REFETCHES
        self._has_list = False
        self._holders = AddressHolders()

    def load_initial(self, index: int, events: Iterable[FeedMessage]) -> None:
        """Applies the configuration's events up to `index`; unusable parts cannot be fetched again."""
        self._initial_events = tuple(events)
        for event in self._initial_events:
            self.apply_event(event)
        self.last_index = self.initial_index = max(self.last_index, index)

    def initial_purges(self) -> list[FeedMessage]:
        """Returns the usable purges of the configuration, as its events have them."""
        purges = [event["evict"] for event in self._initial_events if "evict" in event]
        return [evict for evict in purges if is_usable_purge(evict)]

    def _initial_entries(self) -> dict[str, Any]:
        """Returns the usable entries of the configuration's list by uid."""
        entries: dict[str, Any] = {}
        for event in self._initial_events:
            entries = entries_after(entries, event, self.roles)
        return entries

    def restore(self, endpoints: Mapping[int, list[Any]], last_index: int, *, is_complete: bool) -> None:
        """Applies the list that a previous run stored, and continues after its last event, if it stored that.

        Args:
            endpoints: Entries of the list by the number of their event, which the configuration lacks.
            last_index: Number up to which the previous run stored all events; 0 if it stored none completely.
            is_complete: Whether these are all servers, so that others of the configuration are gone.
        """
        targets = [entry for index in sorted(endpoints) for entry in endpoints[index]]
        if targets:
            self.apply_event({"endpoints": {"all": is_complete, "targets": targets}})
        if last_index > self.last_index:
            self.last_index, self.is_resumed = last_index, True
        self._untold = {
            str(entry["uid"]) for index in endpoints if index > self.last_index for entry in endpoints[index]
        }

    def read_line(self, data: bytes) -> bool:
        """Applies one line of the feed; False if it is malformed or leaves a gap, to be fetched again."""
        message = self._parse(data)
        if message is None:
            return False
        index = message["index"]
        is_heartbeat = len(message) == 1  # the number of the last event, sent each second
        if self.is_resumed and is_heartbeat and index < self.last_index:
            self._restart_numbering()
            return False
        if index <= self.last_index:  # already applied
            if is_heartbeat:
                self._handle_caught_up()
            return True
        if is_heartbeat or index != self.last_index + 1:
            self.counters.add("coordinator.gaps")
            return False
        return self._apply_next(index, message)

    def _parse(self, data: bytes) -> FeedMessage | None:
        try:
            message = json.loads(data)
        except (ValueError, RecursionError):
            message = None
        if type(message) is int:  # not a bool, which is an int as well
            message = {"index": message}
        if not isinstance(message, dict) or type(message.get("index")) is not int:
            self.counters.add("coordinator.bad_lines")
            return None
        return message

    def _restart_numbering(self) -> None:
        """Goes back to the configuration: this coordinator does not continue the previous run's count."""
        self.last_index, self.is_resumed = self.initial_index, False
        self._untold = set()
        self._has_list = False  # the configuration's list replaces the one in force
        if not self._initial_entries():
            self.apply_event({"endpoints": {"all": True, "targets": []}})
        for event in self._initial_events:
            self.apply_event(event)
        self.counters.add("coordinator.numbering_back")
        if self.recorder is not None:
            self.recorder.begin_epoch()

    def _handle_caught_up(self) -> None:
        """Handles a heartbeat by which no event is missing."""
        if self.sync is not None:
            self.sync.heartbeat_received(self.clock())
        if self._untold:
            self._drop_untold()

    def _drop_untold(self) -> None:
        """Returns restored servers to the configuration's list, as the coordinator has not told them again.

        Their events are of a coordinator that has begun to count anew, since this one sends all that it has.
        """
        uids, self._untold = self._untold, set()
        entries, gone = self._initial_entries(), {"state": "DELETED"}
        targets = [entries.get(uid, {"uid": uid, **gone}) for uid in sorted(uids)]
        self.apply_event({"endpoints": {"targets": targets}})
        self.counters.add("coordinator.not_told_again", len(uids))
        if self.recorder is not None:
            self.recorder.forget_servers(uids)

    def _apply_next(self, index: int, message: FeedMessage) -> bool:
        is_complete = self.apply_event(message)
        if not is_complete and self._should_refetch(index):
            return False
        if is_complete and self._refetched[0] == index:
            self._max_refetches = MAX_REFETCHES  # the event was only damaged in transit
        self.last_index = index
        if self.sync is not None:
            self.sync.event_applied(self.clock())
        if self.recorder is not None:
            applied = message if is_complete else usable_part(message, self.roles)
            self.recorder.record_event(index, applied)
        return True

    def _should_refetch(self, index: int) -> bool:
        """Whether an event with an unusable part is fetched once more, together with all events after it.

        Fetching again recovers a change that was damaged in transit. The number of retries is limited, so
        that an event that this director cannot use does not block the feed; after the first such event, each
        further one costs a single retry.
        """
        previous, count = self._refetched
        count = count + 1 if previous == index else 1
        self._refetched = index, count
        if count <= self._max_refetches:
            return True
        self._max_refetches = MIN_REFETCHES
        self.counters.add("coordinator.given_up")
        return False

    def apply_event(self, event: FeedMessage) -> bool:
        """Applies the usable parts of an event; False if a part was unusable, which is also counted."""
        bad_entries = 0
        try:
            if "endpoints" in event:
                bad_entries = self._apply_list(event["endpoints"])
            if "evict" in event:
                self._apply_purge(event["evict"])
        except INVALID:
            self.counters.add("coordinator.bad_events")
            return False
        self.counters.add("coordinator.events")
        return not bad_entries

    def _apply_list(self, change: FeedMessage) -> int:
        """Applies a change of the endpoint list; returns how many of its entries were unusable."""
        entries: list[tuple[api.Server, Address | None]] = []
        models: dict[str, str] = {}
        for entry in change["targets"]:
            try:
                entries.append(read_endpoint(entry, self.roles))
                models[str(entry["uid"])] = str(entry.get("model", ""))
            except INVALID:
                self.counters.add("coordinator.bad_entries")
        bad_entries = len(change["targets"]) - len(entries)
        kind = api.EndpointListKind.DELTA
        # A full list with an unusable entry is applied as a change, so that this entry's server is kept.
        if not self._has_list or (change.get("all") and not bad_entries):
            kind = api.EndpointListKind.COMPLETE if self._has_list else api.EndpointListKind.PERSISTED
        self._has_list = True
        is_complete = kind is not api.EndpointListKind.DELTA
        self._untold = set() if is_complete else self._untold.difference(models)
        listed = [self._with_steady_start(server) for server, _ in entries]
        servers = self._holders.resolve(listed, is_complete=is_complete)
        listed_states = {server.name: server.state for server in listed}
        taken = sum(listed_states.get(server.name) is not server.state for server in servers)
        if taken:
            self.counters.add("coordinator.addresses_taken", taken)
        addresses = {server.name: address for server, address in entries}
        self.exchange.update_servers(api.EndpointList(kind, servers), addresses, models)
        return bad_entries

    def _with_steady_start(self, server: api.Server) -> api.Server:
        """Returns a listed server with its process's start in steady time; 0 means long ago."""
        if server.started_ms <= 0.0:
            return server
        return replace(server, started_ms=self.instants.to_steady(UnixInstant(server.started_ms)))

    def _apply_purge(self, evict: FeedMessage) -> None:
        key, group, purged_at = read_purge(evict)
        age_ms = max(0.0, self.clock() - self.instants.to_steady(purged_at))
        self.exchange.purge(api.Purge(key, group, age_ms))


def usable_part(event: FeedMessage, roles: Mapping[Any, api.Role]) -> FeedMessage:
    """Returns what `EndpointFeed.apply_event` applies of an event with an unusable part."""
    usable: FeedMessage = {}
    try:
        if "endpoints" in event:
            targets = event["endpoints"]["targets"]
            entries = [entry for entry in targets if is_usable(entry, roles)]
            is_complete = bool(event["endpoints"].get("all")) and len(entries) == len(targets)
            usable["endpoints"] = {"all": is_complete, "targets": entries}
        if "evict" in event and is_usable_purge(event["evict"]):
            usable["evict"] = event["evict"]
    except INVALID:
        pass
    return usable


def entries_after(
    entries: Mapping[str, Any], event: FeedMessage, roles: Mapping[Any, api.Role]
) -> dict[str, Any]:
    """Returns the entries of a list by uid after an event; entries that cannot be used are left out."""
    change = event.get("endpoints")
    if not isinstance(change, dict) or not isinstance(change.get("targets"), list):
        return dict(entries)
    usable = {str(entry["uid"]): entry for entry in change["targets"] if is_usable(entry, roles)}
    return usable if change.get("all") else {**entries, **usable}


def is_usable(entry: Any, roles: Mapping[Any, api.Role]) -> bool:
    """Returns whether an entry of the endpoint list can be used."""
    try:
        read_endpoint(entry, roles)
    except INVALID:
        return False
    return True


def read_purge(evict: FeedMessage) -> tuple[int | None, int, UnixInstant]:
    """Returns the object, the group and the time of a purge; raises one of `INVALID` if it cannot be used."""
    key = int(evict["ref"], 16) if "ref" in evict else None
    return key, int(evict.get("shard", NO_GROUP)), UnixInstant(read_finite(evict["unix_ms"]))


def is_usable_purge(evict: Any) -> bool:
    """Returns whether a purge can be used."""
    try:
        read_purge(evict)
    except INVALID:
        return False
    return True
