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
from .config.policy_settings import (
    DETAILS,
    SettingsError,
    either,
    need,
    read_load,
    read_roles,
    read_settings,
    word,
)
from .policy import Dispatcher

STATES = {
    "up": api.ServerState.READY,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.GONE,
}
LISTS = {
    "Partial": api.EndpointListKind.DELTA,
    "Complete": api.EndpointListKind.COMPLETE,
    "Persisted": api.EndpointListKind.PERSISTED,
    "Error": api.EndpointListKind.FAILED,
}
STATUSES = {
    "GOOD": api.Status.OK,
    "BAD": api.Status.ERROR,
    "FULL": api.Status.REJECTED,
    "LATE": api.Status.TIMEOUT,
    "NOCONN": api.Status.CONNECT_FAILED,
    "RST": api.Status.RESET,
    "CXL": api.Status.CANCELLED,
    "NOP": api.Status.NOT_SENT,
    "MISS": api.Status.MISS,
}


class Host:
    """One hosted dispatcher and what is needed to translate for it."""

    def __init__(self, number: int, message: dict[str, Any]) -> None:
        raw = need(message, "setup", (dict,))
        self.number = number
        self.roles = read_roles(raw)
        self.dispatcher = Dispatcher(read_settings(raw), need(message, "salt", (int,)))

    def server(self, entry: dict[str, Any]) -> api.Server:
        return api.Server(
            name=need(entry, "host", (str,)),
            role=self.roles.get(entry.get("model"), api.Role.CACHE),
            zone=need(entry, "site", (str,)),
            capacity=either(entry.get("scale"), 1.0),
            state=word(STATES, entry, "lifecycle"),
            started_ms=either(entry.get("start_time_ms"), 0.0),
            cell=either(entry.get("block"), 0),
        )


def _list(host: Host, m: dict[str, Any]) -> api.Event:
    kind = word(LISTS, m, "kind")
    entries = either(m.get("elements"), [])
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise SettingsError("directory_update: field 'elements' is not a list of objects")
    return api.EndpointList(kind, tuple(host.server(entry) for entry in entries))


def _request(_: Host, m: dict[str, Any]) -> api.Event:
    flags = int(either(m.get("bitmap"), 0))
    return api.Request(
        id=need(m, "call"),
        class_name=need(m, "type", (str,)),
        key=int(either(m.get("key"), 0)),
        time_left_ms=need(m, "time_left_ms"),
        size_kb=either(m.get("kbytes"), 0.0),
        group=int(either(m.get("purge_group"), 0)),
        part=int(either(m.get("range_no"), 0)),
        tenant=m.get("client_group") or None,
        is_client_retry=bool(flags & 2),
        is_write=bool(flags & 4),
    )


def _outcome(_: Host, m: dict[str, Any]) -> api.Event:
    detail = int(either(m.get("detail"), 0))
    return api.Outcome(
        id=need(m, "call"),
        attempt=need(m, "hop"),
        server=need(m, "host", (str,)),
        status=word(STATUSES, m, "result"),
        elapsed_ms=either(m.get("time_taken_ms"), 0.0),
        is_answered=bool(m.get("done_flag")),
        detail=DETAILS[detail] if 0 <= detail < len(DETAILS) else api.OutcomeDetail.NONE,
        source_wait_ms=m.get("source_wait_ms"),
        load_report=read_load(m.get("telemetry")),
    )


def _first_byte(_: Host, m: dict[str, Any]) -> api.Event:
    return api.FirstByte(
        need(m, "call"), need(m, "hop"), need(m, "host", (str,)), either(m.get("time_taken_ms"), 0.0)
    )


def _probed(_: Host, m: dict[str, Any]) -> api.Event:
    took_ms, load = either(m.get("time_taken_ms"), 0.0), read_load(m.get("telemetry"))
    return api.HealthCheckResult(need(m, "host", (str,)), word(STATUSES, m, "result"), took_ms, load)


def _peer_note(_: Host, m: dict[str, Any]) -> api.Event:
    try:
        content = base64.b64decode(either(m.get("content"), ""), validate=True)
    except ValueError as error:
        raise SettingsError("note_from: field 'content' is not base64") from error
    return api.PeerMessage(need(m, "by", (int,)), content)


def _purge(_: Host, m: dict[str, Any]) -> api.Event:
    return api.Purge(m.get("key"), int(either(m.get("bucket"), -1)), need(m, "copy_age_ms"))


READERS: dict[str, Callable[[Host, dict[str, Any]], api.Event]] = {
    "directory_update": _list,
    "knock": _request,
    "ended": _outcome,
    "streaming": _first_byte,
    "health_result": _probed,
    "note_from": _peer_note,
    "replaced": _purge,
    "client_gone": lambda _, m: api.ClientDisconnected(need(m, "call")),
    "timer": lambda _, m: api.Timer(need(m, "token", (str,))),
}


def _fetch(a: api.Fetch) -> dict[str, Any]:
    bits = a.join_fill * 1 + a.cached_only * 2 + (not a.parent_caches) * 4 + a.revalidate * 8
    return {
        "op": "fetch_through",
        "call": a.id,
        "copy_age_ms": a.max_age_ms,
        "cap_ms": a.timeout_ms,
        "switches": bits,
        "rank": a.cache_rank,
        "fill_from": a.source,
        "host": a.server,
    }


WRITERS: dict[type, Callable[[Any], dict[str, Any]]] = {
    api.Lookup: lambda a: {"op": "place", "call": a.id, "host": a.server, "cap_ms": a.timeout_ms},
    api.Fetch: _fetch,
    api.Reject: lambda a: {"op": "not_now", "call": a.id, "come_back_ms": a.retry_after_ms},
    api.Fail: lambda a: {"op": "end_failed", "call": a.id},
    api.Cancel: lambda a: {"op": "revoke", "call": a.id, "hop": a.attempt},
    api.HealthCheck: lambda a: {"op": "ping", "host": a.server},
    api.CloseIdle: lambda a: {"op": "free_links", "host": a.server},
    api.NotifyPeers: lambda a: {
        "op": "memo_to",
        "recipient": a.peer,
        "content": base64.b64encode(a.content).decode(),
    },
    api.SetTimer: lambda a: {"op": "defer", "sleep_for_ms": a.delay_ms, "token": a.token},
    api.Watch: lambda a: {"op": "stream_changes", "want": a.enabled},
    api.FetchEndpoints: lambda a: {"op": "resolve"},
    api.Log: lambda a: {"op": "write_log", "line": a.line},
}


class Adapter:
    """All hosted dispatchers of this process; they share nothing."""

    def __init__(self) -> None:
        self.hosts: dict[int, Host] = {}
        self.now_ms = 0.0

    def event(self, message: dict[str, Any]) -> list[dict[str, Any]]:
        """Take one event; the actions that answer it, as messages."""
        name, number = message.get("op"), need(message, "dispatcher_id", (int,))
        actions: list[Any] = []
        try:
            if name == "launch":
                self.hosts[number] = Host(number, message)
            elif name == "killed":
                self.hosts.pop(number, None)
            elif name not in READERS:
                raise SettingsError(f"unknown message '{name}'")
            elif number not in self.hosts:
                raise SettingsError(f"{name}: instance {number} was never launched")
            else:
                host = self.hosts[number]
                actions = host.dispatcher.handle(self.now_ms, READERS[name](host, message))
        except SettingsError:
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
                raise SettingsError("not valid JSON") from error
            if not isinstance(message, dict) or not isinstance(message.get("op"), str):
                raise SettingsError("not an object with the text field 'op'")
            if message["op"] == "clock":
                adapter.now_ms, open_batch = float(need(message, "sim_time_ms")), True
            elif not open_batch:
                raise SettingsError(f"'{message['op']}' outside a batch")
            elif message["op"] == "flush":
                out.write("".join(encode(reply) + "\n" for reply in replies) + '{"op":"next"}\n')
                out.flush()
                replies, open_batch = [], False
            else:
                replies += adapter.event(message)
        except SettingsError as error:
            raise SettingsError(f"line {number}: {error}") from error
    if open_batch:
        raise SettingsError("the input ended inside a batch")


def main() -> int:
    gc.freeze()
    try:
        run(sys.stdin, sys.stdout)
    except SettingsError as error:
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
