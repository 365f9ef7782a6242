"""Replicated purge requests: each reaches every hub cache, whichever director holds the purge lease.

A request is sent to every director and stored durably by each; it is acknowledged to the operator once a
majority has stored it. The lease holder synchronises with the other directors and forwards the requests that
it receives. Its synchronisation needs responses from a majority, and every majority shares a director with
the majority that stored a request, so no acknowledged request is missed, whichever directors have failed. Hub
caches receive a request at least once and recognise a repetition by its id. A request that all of them have
accepted is completed: every director is notified and deletes it. No I/O.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from ..errors import GladewalkError
from .configuration import majority
from .messages import (
    MAX_TARGET_CHARACTERS,
    Completed,
    PurgeRequest,
    Replicated,
    SyncRequest,
    SyncResponse,
)
from .outputs import PURGE_SPACE, EventKind, LeaseEvent, Output, Save, Send, encode_row
from .status import PurgeState, PurgeStatus

INITIAL_BACKOFF_MS = 200.0  # until a request is sent again to directors that have not replicated it
MAX_BACKOFF_MS = 10_000.0
SYNC_TIMEOUT_MS = 250.0  # a synchronisation without a majority by then is restarted
SYNC_INTERVAL_MS = 2_000.0  # of a holder; finds requests whose replication message was lost
SYNC_PAGE_SIZE = 4  # requests that fit into a datagram
MAX_FORWARDED_REQUESTS = 64  # being forwarded to the hub caches at a time
MAX_OPEN_REQUESTS = 4_096  # further ones are rejected
MAX_REMEMBERED_COMPLETIONS = 8_192  # so that a delayed message does not reopen a completed request


class PurgeRejectedError(GladewalkError, ValueError):
    """A purge request cannot be accepted; the text is shown to the operator."""


@dataclass(slots=True)
class OpenRequest:
    """A request that is not completed, with the directors and hub caches that are known to have it."""

    request: PurgeRequest
    replicas: set[str] = field(default_factory=set)
    due_at_ms: float = float("inf")  # when the director that received it sends it again
    backoff_ms: float = INITIAL_BACKOFF_MS
    accepted_by: set[str] = field(default_factory=set)  # hub caches that accepted it from this holder


@dataclass(slots=True)
class SyncRound:
    """A holder's synchronisation in progress."""

    number: int
    due_at_ms: float
    complete_replicas: set[str] = field(default_factory=set)  # directors that sent their last page


class PurgeRequests:
    """One director's purge requests; `directors` names all (with this one), `hubs` the hub caches.

    The numbers of synchronisations follow `last_sync_number`, which differs from run to run: a page that was
    requested by the run before may lack requests that have been acknowledged since.
    """

    def __init__(
        self,
        name: str,
        directors: tuple[str, ...],
        hubs: tuple[str, ...],
        rng: random.Random,
        restored: dict[str, bytes],
        last_sync_number: int = 0,
    ) -> None:
        self.name, self.hubs, self.random = name, hubs, rng
        self.directors = directors
        self.others = tuple(director for director in directors if director != name)
        self.needed_replicas = majority(len(directors))
        self.open: dict[str, OpenRequest] = {}
        self.completed: OrderedDict[str, int] = OrderedDict()  # id -> token under which it was completed
        self.sync_round: SyncRound | None = None
        self.synced_at_ms = float("-inf")
        self._last_sync_number = last_sync_number
        self._restore(restored)

    def _restore(self, rows: dict[str, bytes]) -> None:
        decoder = msgspec.msgpack.Decoder(PurgeRequest)
        for row in rows.values():
            try:
                request = decoder.decode(row)
            except msgspec.MsgspecError:  # written by other software: there is nothing to forward
                continue
            self.open[request.request_id] = OpenRequest(request, {self.name})

    # At the director that receives the operator's request.

    def create(self, target: str, now_ms: float, wall_ms: float) -> tuple[PurgeRequest, list[Output]]:
        """Accepts an operator's purge; raises `PurgeRejectedError` if it cannot be accepted."""
        if not 0 < len(target) <= MAX_TARGET_CHARACTERS or not target.isprintable():
            raise PurgeRejectedError(f"a purge names 1 to {MAX_TARGET_CHARACTERS} printable characters")
        if len(self.open) >= MAX_OPEN_REQUESTS:
            raise PurgeRejectedError(
                f"{MAX_OPEN_REQUESTS} purge requests are open: the hub caches have not accepted them"
            )
        request = PurgeRequest(f"{self.random.getrandbits(64):016x}", target, self.name, wall_ms)
        entry = self.open[request.request_id] = OpenRequest(request, due_at_ms=now_ms)
        event = LeaseEvent(EventKind.PURGE_RECEIVED, request.request_id, 0, self.name)
        return request, [self._save(entry), event]

    def status(self, request_id: str) -> PurgeStatus:
        """Describes one request, for `gladewalk purge`."""
        entry = self.open.get(request_id)
        if entry is not None:
            replicas = sorted(entry.replicas)
            is_acknowledged = len(replicas) >= self.needed_replicas
            return PurgeStatus(request_id, PurgeState.OPEN, replicas, 0, is_acknowledged)
        token = self.completed.get(request_id)
        if token is None:
            return PurgeStatus(request_id, PurgeState.UNKNOWN, [], 0, False)
        return PurgeStatus(request_id, PurgeState.COMPLETED, [], token, True)

    # At every director.

    def handle_request(self, request: PurgeRequest) -> list[Output]:
        """Replicates a request; notifies the director that received it, also of an earlier completion."""
        request_id, sender = request.request_id, request.received_by
        if request_id in self.completed:
            return [Send(sender, Completed(request_id, self.completed[request_id]))]
        entry = self.open.get(request_id)
        replicated = Send(sender, Replicated(request_id, self.name))
        if entry is not None and self.name in entry.replicas:
            return [replicated]
        if entry is None:
            if len(self.open) >= MAX_OPEN_REQUESTS:
                return [LeaseEvent(EventKind.PURGE_REFUSED, request_id, 0, sender)]
            entry = self.open[request_id] = OpenRequest(request)
        return [self._save(entry, replicated)]

    def mark_durable(self, request_id: str) -> None:
        """Notes that this director's row of the request is durable."""
        if request_id in self.open:
            self.open[request_id].replicas.add(self.name)

    def handle_replicated(self, message: Replicated) -> None:
        """Notes that another director has replicated the request."""
        if message.request_id in self.open and message.replica in self.directors:
            self.open[message.request_id].replicas.add(message.replica)

    def handle_completed(self, message: Completed) -> list[Output]:
        """Deletes a request that every hub cache has accepted."""
        if message.request_id in self.completed:
            return []
        self.completed[message.request_id] = message.token
        while len(self.completed) > MAX_REMEMBERED_COMPLETIONS:
            self.completed.popitem(last=False)
        if self.open.pop(message.request_id, None) is None:
            return []
        event = LeaseEvent(EventKind.PURGE_COMPLETED, message.request_id, message.token, self.name)
        return [Save(PURGE_SPACE, message.request_id, None), event]

    def handle_sync_request(self, message: SyncRequest) -> list[Output]:
        """Sends a holder one page of the requests that are durable here."""
        ids = sorted(
            request_id
            for request_id, entry in self.open.items()
            if request_id > message.after_id and self.name in entry.replicas
        )
        page = [self.open[request_id].request for request_id in ids[:SYNC_PAGE_SIZE]]
        has_more = len(ids) > SYNC_PAGE_SIZE
        return [Send(message.requester, SyncResponse(self.name, message.round_number, page, has_more))]

    # At the holder.

    def handle_sync_response(self, response: SyncResponse, now_ms: float) -> list[Output]:
        """Replicates the requests of a page and requests the next page, if there is one."""
        outputs: list[Output] = []
        for request in response.requests:
            request_id = request.request_id
            if request_id in self.completed:  # the replica missed the completion
                outputs.append(Send(response.replica, Completed(request_id, self.completed[request_id])))
            else:
                # The director that received it is not notified again if it is replicated here already.
                outputs += [out for out in self.handle_request(request) if not isinstance(out, Send)]
                self.handle_replicated(Replicated(request_id, response.replica))
        if self.sync_round is None or response.round_number != self.sync_round.number:
            return outputs
        if response.has_more:
            after_id = response.requests[-1].request_id
            next_page = SyncRequest(self.name, response.round_number, after_id)
            outputs.append(Send(response.replica, next_page))
        elif response.replica in self.directors:
            self.sync_round.complete_replicas.add(response.replica)
            if len(self.sync_round.complete_replicas) >= self.needed_replicas:
                self.sync_round, self.synced_at_ms = None, now_ms
        return outputs

    def sync(self, now_ms: float) -> list[Output]:
        """Begins a synchronisation if one is due, at once after the lease was won; called by its holder."""
        if self.sync_round is None and now_ms < self.synced_at_ms + SYNC_INTERVAL_MS:
            return []
        if self.sync_round is not None and now_ms < self.sync_round.due_at_ms:
            return []
        self._last_sync_number += 1
        # The count starts anew: a response counts only for the round that requested it.
        self.sync_round = SyncRound(self._last_sync_number, now_ms + SYNC_TIMEOUT_MS, {self.name})
        return [Send(director, SyncRequest(self.name, self._last_sync_number)) for director in self.others]

    def requests_to_forward(self) -> list[PurgeRequest]:
        """Returns the oldest requests that are durable here, `MAX_FORWARDED_REQUESTS` at most."""
        durable = (entry.request for entry in self.open.values() if self.name in entry.replicas)
        return heapq.nsmallest(
            MAX_FORWARDED_REQUESTS, durable, key=lambda request: (request.received_at_ms, request.request_id)
        )

    def handle_forwarded(self, request_id: str, hub: str, token: int) -> list[Output]:
        """Notes that a hub cache has accepted a request, which is completed once all of them have."""
        entry = self.open.get(request_id)
        if entry is None:
            return []
        entry.accepted_by.add(hub)
        if not entry.accepted_by.issuperset(self.hubs):
            return []
        completed = Completed(request_id, token)
        return [*self.handle_completed(completed), *(Send(director, completed) for director in self.others)]

    def reset_forwarding(self) -> None:
        """Forgets which requests hub caches accepted, since this director no longer holds the lease."""
        self.sync_round, self.synced_at_ms = None, float("-inf")
        for entry in self.open.values():
            entry.accepted_by.clear()

    # Timers.

    def tick(self, now_ms: float) -> list[Output]:
        """Sends requests that an operator made here to the directors that have not replicated them."""
        outputs: list[Output] = []
        for entry in self.open.values():
            if now_ms < entry.due_at_ms:
                continue
            if self.name not in entry.replicas:  # the row failed or is not durable yet: saved again
                outputs.append(self._save(entry))
            missing = [director for director in self.others if director not in entry.replicas]
            outputs += [Send(director, entry.request) for director in missing]
            entry.due_at_ms = now_ms + entry.backoff_ms if missing or outputs else float("inf")
            entry.backoff_ms = min(entry.backoff_ms * 2.0, MAX_BACKOFF_MS)
        return outputs

    def next_due_ms(self) -> float:
        """Returns when `tick` has to be called next, or infinity."""
        return min((entry.due_at_ms for entry in self.open.values()), default=float("inf"))

    def _save(self, entry: OpenRequest, *on_durable: Output) -> Save:
        return Save(PURGE_SPACE, entry.request.request_id, encode_row(entry.request), on_durable)
