"""The adapter: hosts dispatchers on the simulator's wire. It translates and decides nothing.

Reads batches of events (JSON, one value a line) on standard input, writes one reply for each on standard
output. A malformed line ends it with one message on standard error and exit code 2; an exception in the
decision module is reported as a fault of its instance.
"""

from __future__ import annotations

import base64
import gc
import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from . import interface as api
from .logic import Dispatcher

EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
SIBLINGS = {"silent": api.Siblings.NONE, "location": api.Siblings.LOCATION, "any": api.Siblings.ANY}
NOTES = {"silent": api.Notes.NONE, "hit": api.Notes.HIT, "all": api.Notes.ALL}
REPORTS = {"silent": api.Reports.NONE, "piggyback": api.Reports.ANSWERS, "pull": api.Reports.PROBE}
STATES = {
    "up": api.ServerState.READY,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.GONE,
}
LISTS = {
    "Partial": api.ListKind.CHANGES,
    "Complete": api.ListKind.WHOLE,
    "Persisted": api.ListKind.LAST,
    "Error": api.ListKind.FAILED,
}
STATUSES = {
    "GOOD": api.Status.OK,
    "BAD": api.Status.ERROR,
    "FULL": api.Status.REFUSED,
    "LATE": api.Status.TIMEOUT,
    "NOCONN": api.Status.CONNECT_FAILED,
    "RST": api.Status.RESET,
    "CXL": api.Status.CANCELLED,
    "NOP": api.Status.NOT_SENT,
    "MISS": api.Status.MISS,
}
DETAILS = (
    api.Note.NONE,
    api.Note.HIT,
    api.Note.FILLED,
    api.Note.FILLED_BY_ORIGIN,
    api.Note.JOINED,
    api.Note.STALE,
    api.Note.SOURCE_REFUSED,
    api.Note.SOURCE_FAILED,
    api.Note.SOURCE_LACKS,
    api.Note.NO_FILL_SLOT,
    api.Note.ORIGIN_FAILED,
)
LOADS = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
    "x0": "x0",
    "x1": "x1",
}


class WireError(Exception):
    """What came in is not of the wire's form."""


def _need(message: dict[str, Any], key: str, kinds: tuple[type, ...] = (int, float)) -> Any:
    value = message.get(key)
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        raise WireError(f"{message.get('op', 'settings')}: field '{key}' is missing or of the wrong type")
    return value


def _word(table: dict[str, Any], message: dict[str, Any], key: str) -> Any:
    word = _need(message, key, (str,))
    if word not in table:
        raise WireError(f"{message.get('op', 'settings')}: field '{key}' has the unknown value '{word}'")
    return table[word]


def _at(values: Any, index: int, default: Any) -> Any:
    return values[index] if isinstance(values, list) and 0 <= index < len(values) else default


def _or(value: Any, default: Any) -> Any:
    return default if value is None else value


def read_settings(raw: dict[str, Any]) -> api.Settings:
    """The wire's settings in the words of the interface; what is not known is skipped."""
    limits, rules = _or(raw.get("limits"), {}), _or(raw.get("invariants"), {})
    details, prices = _or(raw.get("specifics"), {}), _or(raw.get("prices"), {})
    classes = []
    for index, entry in enumerate(_need(raw, "classes", (list,))):
        if not isinstance(entry, dict):
            raise WireError("settings: an entry of 'classes' is not an object")
        classes.append(
            api.RequestClass(
                name=_need(entry, "name", (str,)),
                aim_ms=_need(entry, "promise_ms"),
                deadline_ms=_need(entry, "give_up_ms"),
                aim_stretch=_or(entry.get("aim_stretch"), 0.0),
                worth=_or(entry.get("importance"), 1.0),
                late_worth=_or(entry.get("late_worth"), 0.0),
                effect=_word(EFFECTS, entry, "repeat"),
                scope=api.Scope(_or(entry.get("key_scope"), "all")),
                key_window_ms=_or(entry.get("window_ms"), 0.0),
                streaming=bool(entry.get("streaming")),
                fresh_ms=_at(details.get("lifetime_by_class_ms"), index, 0.0),
                grace_ms=_at(details.get("class_grace_ms"), index, 0.0),
                stale_worth=_at(details.get("stale_earns"), index, 0.0),
                parts=_at(details.get("class_parts"), index, False),
                write=_at(details.get("uncached"), index, False),
            )
        )
    feedback = _or(raw.get("feedback"), {})
    return api.Settings(
        classes=tuple(classes),
        me=_or(raw.get("me"), 0),
        dispatchers=_or(raw.get("n_instances"), 1),
        zone=_or(raw.get("my_zone"), ""),
        zones=tuple(_or(raw.get("zones"), ())),
        hub_of=tuple(_or(details.get("hub_of"), ())),
        dispatchers_by_zone=tuple(_or(details.get("instances_by_zone"), ())),
        link_in_kb_per_s=tuple(_or(details.get("link_in_kb_per_s"), ())),
        client_kb_per_s=_or(details.get("client_kb_per_s"), 0.0),
        sizes_listed=raw.get("weights") != "silent",
        max_attempts=_or(limits.get("most_tries"), 1),
        second_copies=bool(limits.get("may_duplicate")),
        may_cancel=bool(limits.get("cancel")),
        may_probe=bool(limits.get("may_probe")),
        may_tell=bool(limits.get("peers")),
        retry_advice=bool(limits.get("retry_after")),
        max_retry_after_ms=_or(limits.get("max_retry_after_ms"), 0.0),
        ask_for_list=raw.get("discovery") == "subscribe",
        reports=REPORTS.get(_or(feedback.get("how"), "silent"), api.Reports.NONE),
        direct=bool(details.get("may_pass_by")),
        joins=bool(details.get("joins")),
        siblings=SIBLINGS.get(_or(details.get("lateral"), "silent"), api.Siblings.NONE),
        notes=NOTES.get(_or(details.get("note_level"), "silent"), api.Notes.NONE),
        link_price=_or(details.get("byte_fee"), 0.0),
        origin_price=_or(prices.get("origin"), 0.0),
        answer_slack_ms=_or(rules.get("answer_slack_ms"), 0.0),
        drain_grace_ms=_or(rules.get("drain_grace_ms"), 0.0),
        cold_share=_or(rules.get("cold_from"), 1.0),
        ramp_ms=_or(rules.get("ramp_time_ms"), 0.0),
        fall_multiple=_or(rules.get("fall_multiple"), 1.0),
        fall_window_ms=_or(rules.get("tip_after_ms"), 1000.0),
        parent_cold_share=_or(details.get("parent_floor"), 1.0),
        parent_ramp_ms=_or(details.get("parent_cold_ms"), 0.0),
        parent_fall_multiple=_or(details.get("parent_fall_multiple"), 1.0),
        purge_grace_ms=_or(details.get("obey_after_ms"), 0.0),
        purge_settle_ms=_or(details.get("purge_settles_ms"), 0.0),
        origin_fall_multiple=_or(details.get("origin_limit_factor"), 0.0),
        origin_fall_ms=_or(details.get("root_fall_ms"), 0.0),
    )


class Host:
    """One hosted dispatcher and what is needed to translate for it."""

    def __init__(self, number: int, message: dict[str, Any]) -> None:
        raw = _need(message, "setup", (dict,))
        kinds, details = _or(raw.get("kinds"), []), _or(raw.get("specifics"), {})
        self.number = number
        self.roles: dict[Any, api.Role] = {
            _at(kinds, _or(details.get("upper_kind"), -1), None): api.Role.PARENT,
            _at(kinds, _or(details.get("origin_kind"), -1), None): api.Role.ORIGIN,
        }
        self.roles.pop(None, None)
        self.dispatcher = Dispatcher(read_settings(raw), _need(message, "salt", (int,)))

    def server(self, entry: dict[str, Any]) -> api.Server:
        return api.Server(
            name=_need(entry, "host", (str,)),
            role=self.roles.get(entry.get("model"), api.Role.CACHE),
            zone=_need(entry, "site", (str,)),
            size=_or(entry.get("scale"), 1.0),
            state=_word(STATES, entry, "lifecycle"),
            started_ms=_or(entry.get("start_time_ms"), 0.0),
            cell=_or(entry.get("block"), 0),
        )


def _list(host: Host, m: dict[str, Any]) -> api.Event:
    kind = _word(LISTS, m, "kind")
    entries = _or(m.get("elements"), [])
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise WireError("directory_update: field 'elements' is not a list of objects")
    return api.ServerList(kind, tuple(host.server(entry) for entry in entries))


def _request(_: Host, m: dict[str, Any]) -> api.Event:
    flags = int(_or(m.get("bitmap"), 0))
    return api.Request(
        id=_need(m, "call"),
        class_name=_need(m, "type", (str,)),
        key=int(_or(m.get("key"), 0)),
        time_left_ms=_need(m, "time_left_ms"),
        size_kb=_or(m.get("kbytes"), 0.0),
        group=int(_or(m.get("purge_group"), 0)),
        part=int(_or(m.get("range_no"), 0)),
        tenant=m.get("client_group") or None,
        is_repeat=bool(flags & 2),
        is_write=bool(flags & 4),
    )


def _load(m: dict[str, Any]) -> dict[str, float] | None:
    load = m.get("telemetry")
    if not isinstance(load, dict):
        return None
    return {LOADS.get(name, str(name)): value for name, value in load.items()}


def _outcome(_: Host, m: dict[str, Any]) -> api.Event:
    detail = int(_or(m.get("detail"), 0))
    return api.Outcome(
        id=_need(m, "call"),
        attempt=_need(m, "hop"),
        server=_need(m, "host", (str,)),
        status=_word(STATUSES, m, "result"),
        took_ms=_or(m.get("time_taken_ms"), 0.0),
        closed=bool(m.get("done_flag")),
        note=DETAILS[detail] if 0 <= detail < len(DETAILS) else api.Note.NONE,
        waited_ms=m.get("source_wait_ms"),
        load=_load(m),
    )


def _first_byte(_: Host, m: dict[str, Any]) -> api.Event:
    return api.FirstByte(
        _need(m, "call"), _need(m, "hop"), _need(m, "host", (str,)), _or(m.get("time_taken_ms"), 0.0)
    )


def _probed(_: Host, m: dict[str, Any]) -> api.Event:
    took_ms = _or(m.get("time_taken_ms"), 0.0)
    return api.ProbeResult(_need(m, "host", (str,)), _word(STATUSES, m, "result"), took_ms, _load(m))


def _peer_note(_: Host, m: dict[str, Any]) -> api.Event:
    try:
        content = base64.b64decode(_or(m.get("content"), ""), validate=True)
    except ValueError as error:
        raise WireError("note_from: field 'content' is not base64") from error
    return api.PeerNote(_need(m, "by", (int,)), content)


def _purge(_: Host, m: dict[str, Any]) -> api.Event:
    return api.Purge(m.get("key"), int(_or(m.get("bucket"), -1)), _need(m, "copy_age_ms"))


READERS: dict[str, Callable[[Host, dict[str, Any]], api.Event]] = {
    "directory_update": _list,
    "knock": _request,
    "ended": _outcome,
    "streaming": _first_byte,
    "health_result": _probed,
    "note_from": _peer_note,
    "replaced": _purge,
    "client_gone": lambda _, m: api.ClientGone(_need(m, "call")),
    "timer": lambda _, m: api.Timer(_need(m, "token", (str,))),
}


def _fetch(a: api.Fetch) -> dict[str, Any]:
    bits = a.join * 1 + a.held_only * 2 + (not a.parent_keeps) * 4 + a.renew * 8
    return {
        "op": "fetch_through",
        "call": a.id,
        "copy_age_ms": a.max_age_ms,
        "cap_ms": a.timeout_ms,
        "switches": bits,
        "rank": a.rank,
        "fill_from": a.source,
        "host": a.server,
    }


WRITERS: dict[type, Callable[[Any], dict[str, Any]]] = {
    api.Lookup: lambda a: {"op": "place", "call": a.id, "host": a.server, "cap_ms": a.timeout_ms},
    api.Fetch: _fetch,
    api.Refuse: lambda a: {"op": "not_now", "call": a.id, "come_back_ms": a.retry_after_ms},
    api.Fail: lambda a: {"op": "end_failed", "call": a.id},
    api.Cancel: lambda a: {"op": "revoke", "call": a.id, "hop": a.attempt},
    api.Probe: lambda a: {"op": "ping", "host": a.server},
    api.CloseIdle: lambda a: {"op": "free_links", "host": a.server},
    api.Tell: lambda a: {
        "op": "memo_to",
        "recipient": a.peer,
        "content": base64.b64encode(a.content).decode(),
    },
    api.SetTimer: lambda a: {"op": "defer", "sleep_for_ms": a.delay_ms, "token": a.token},
    api.Watch: lambda a: {"op": "stream_changes", "want": a.on},
    api.FetchList: lambda a: {"op": "resolve"},
    api.Log: lambda a: {"op": "write_log", "line": a.line},
}


class Adapter:
    """All hosted dispatchers of this process; they share nothing."""

    def __init__(self) -> None:
        self.hosts: dict[int, Host] = {}
        self.now_ms = 0.0

    def event(self, message: dict[str, Any]) -> list[dict[str, Any]]:
        """Take one event; the actions that answer it, as messages."""
        name, number = message.get("op"), _need(message, "dispatcher_id", (int,))
        actions: list[Any] = []
        try:
            if name == "launch":
                self.hosts[number] = Host(number, message)
            elif name == "killed":
                self.hosts.pop(number, None)
            elif name not in READERS:
                raise WireError(f"unknown message '{name}'")
            elif number not in self.hosts:
                raise WireError(f"{name}: instance {number} was never launched")
            else:
                host = self.hosts[number]
                actions = host.dispatcher.handle(self.now_ms, READERS[name](host, message))
        except WireError:
            raise
        except Exception as error:  # the boundary: a failure of the module is this instance's fault
            line = f"{name}: {type(error).__name__}: {error}"
            return [{"op": "bug", "dispatcher_id": number, "line": line}]
        replies = [WRITERS[type(action)](action) for action in actions]
        for reply in replies:
            reply["dispatcher_id"] = number
        return replies


def run(lines: Iterable[str], out: TextIO) -> None:
    """Answer batches until the input ends."""
    adapter = Adapter()
    replies: list[dict[str, Any]] = []
    encode = json.JSONEncoder(separators=(",", ":")).encode
    open_batch = False
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            try:
                message = json.loads(line)
            except ValueError as error:
                raise WireError("not valid JSON") from error
            if not isinstance(message, dict) or not isinstance(message.get("op"), str):
                raise WireError("not an object with the text field 'op'")
            if message["op"] == "clock":
                adapter.now_ms, open_batch = float(_need(message, "sim_time_ms")), True
            elif not open_batch:
                raise WireError(f"'{message['op']}' outside a batch")
            elif message["op"] == "flush":
                out.write("".join(encode(reply) + "\n" for reply in replies) + '{"op":"next"}\n')
                out.flush()
                replies, open_batch = [], False
            else:
                replies += adapter.event(message)
        except WireError as error:
            raise WireError(f"line {number}: {error}") from error
    if open_batch:
        raise WireError("the input ended inside a batch")


def main() -> int:
    gc.freeze()
    try:
        run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
