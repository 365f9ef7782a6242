"""Simulator adapter: runs dispatchers behind the simulator's message protocol. It only translates messages.

Reads batches of events, one JSON object per line, from standard input and writes the actions that result from
each batch to standard output. A malformed line ends the process with one message on standard error and exit
code 2; an exception in the decision module is reported as a fault of its dispatcher instance.
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
    OUTCOME_DETAILS,
    InvalidMessageError,
    read_load_report,
    read_roles,
    read_settings,
    require_choice,
    require_field,
    value_or,
)
from .policy import Dispatcher

Message = dict[str, Any]
EXIT_BROKEN_PIPE = 1
EXIT_MALFORMED_INPUT = 2
CLIENT_RETRY_FLAG, WRITE_FLAG = 2, 4
JOIN_FILL_FLAG, CACHED_ONLY_FLAG, PARENT_UNCACHED_FLAG, REVALIDATE_FLAG = 1, 2, 4, 8
SERVER_STATES = {
    "up": api.ServerState.READY,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.GONE,
}
ENDPOINT_LIST_KINDS = {
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


class HostedDispatcher:
    """A dispatcher instance, with the server roles that are needed to translate its messages."""

    def __init__(self, message: Message) -> None:
        """Raises `InvalidMessageError` for a launch message without valid settings."""
        raw = require_field(message, "setup", (dict,))
        self.roles = read_roles(raw)
        self.dispatcher = Dispatcher(read_settings(raw), require_field(message, "salt", (int,)))

    def read_server(self, entry: Message) -> api.Server:
        """Converts an entry of the endpoint list; raises `InvalidMessageError`."""
        return api.Server(
            name=require_field(entry, "host", (str,)),
            role=self.roles.get(entry.get("model"), api.Role.CACHE),
            zone=require_field(entry, "site", (str,)),
            capacity=value_or(entry.get("scale"), 1.0),
            state=require_choice(SERVER_STATES, entry, "lifecycle"),
            started_ms=value_or(entry.get("start_time_ms"), 0.0),
            cell=value_or(entry.get("block"), 0),
        )


def _read_endpoint_list(instance: HostedDispatcher, message: Message) -> api.Event:
    kind = require_choice(ENDPOINT_LIST_KINDS, message, "kind")
    entries = value_or(message.get("elements"), [])
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise InvalidMessageError("directory_update: field 'elements' is not a list of objects")
    return api.EndpointList(kind, tuple(instance.read_server(entry) for entry in entries))


def _read_request(_: HostedDispatcher, message: Message) -> api.Event:
    flags = int(value_or(message.get("bitmap"), 0))
    return api.Request(
        id=require_field(message, "call"),
        class_name=require_field(message, "type", (str,)),
        key=int(value_or(message.get("key"), 0)),
        time_left_ms=require_field(message, "time_left_ms"),
        size_kb=value_or(message.get("kbytes"), 0.0),
        group=int(value_or(message.get("purge_group"), 0)),
        part=int(value_or(message.get("range_no"), 0)),
        tenant=message.get("client_group") or None,
        is_client_retry=bool(flags & CLIENT_RETRY_FLAG),
        is_write=bool(flags & WRITE_FLAG),
    )


def _read_outcome(_: HostedDispatcher, message: Message) -> api.Event:
    detail = int(value_or(message.get("detail"), 0))
    return api.Outcome(
        id=require_field(message, "call"),
        attempt=require_field(message, "hop"),
        server=require_field(message, "host", (str,)),
        status=require_choice(STATUSES, message, "result"),
        elapsed_ms=value_or(message.get("time_taken_ms"), 0.0),
        is_answered=bool(message.get("done_flag")),
        detail=OUTCOME_DETAILS[detail] if 0 <= detail < len(OUTCOME_DETAILS) else api.OutcomeDetail.NONE,
        source_wait_ms=message.get("source_wait_ms"),
        load_report=read_load_report(message.get("telemetry")),
    )


def _read_first_byte(_: HostedDispatcher, message: Message) -> api.Event:
    return api.FirstByte(
        require_field(message, "call"),
        require_field(message, "hop"),
        require_field(message, "host", (str,)),
        value_or(message.get("time_taken_ms"), 0.0),
    )


def _read_health_check_result(_: HostedDispatcher, message: Message) -> api.Event:
    elapsed_ms, load_report = (
        value_or(message.get("time_taken_ms"), 0.0),
        read_load_report(message.get("telemetry")),
    )
    server, status = require_field(message, "host", (str,)), require_choice(STATUSES, message, "result")
    return api.HealthCheckResult(server, status, elapsed_ms, load_report)


def _read_peer_message(_: HostedDispatcher, message: Message) -> api.Event:
    try:
        content = base64.b64decode(value_or(message.get("content"), ""), validate=True)
    except ValueError as error:
        raise InvalidMessageError("note_from: field 'content' is not base64") from error
    return api.PeerMessage(require_field(message, "by", (int,)), content)


def _read_purge(_: HostedDispatcher, message: Message) -> api.Event:
    return api.Purge(
        message.get("key"), int(value_or(message.get("bucket"), -1)), require_field(message, "copy_age_ms")
    )


READERS: dict[str, Callable[[HostedDispatcher, Message], api.Event]] = {
    "directory_update": _read_endpoint_list,
    "knock": _read_request,
    "ended": _read_outcome,
    "streaming": _read_first_byte,
    "health_result": _read_health_check_result,
    "note_from": _read_peer_message,
    "replaced": _read_purge,
    "client_gone": lambda _, message: api.ClientDisconnected(require_field(message, "call")),
    "timer": lambda _, message: api.Timer(require_field(message, "token", (str,))),
}


def _write_fetch(action: api.Fetch) -> Message:
    flags = JOIN_FILL_FLAG * action.join_fill + CACHED_ONLY_FLAG * action.cached_only
    flags += PARENT_UNCACHED_FLAG * (not action.parent_caches) + REVALIDATE_FLAG * action.revalidate
    return {
        "op": "fetch_through",
        "call": action.id,
        "copy_age_ms": action.max_age_ms,
        "cap_ms": action.timeout_ms,
        "switches": flags,
        "rank": action.cache_rank,
        "fill_from": action.source,
        "host": action.server,
    }


WRITERS: dict[type, Callable[[Any], Message]] = {
    api.Lookup: lambda action: {
        "op": "place",
        "call": action.id,
        "host": action.server,
        "cap_ms": action.timeout_ms,
    },
    api.Fetch: _write_fetch,
    api.Reject: lambda action: {"op": "not_now", "call": action.id, "come_back_ms": action.retry_after_ms},
    api.Fail: lambda action: {"op": "end_failed", "call": action.id},
    api.Cancel: lambda action: {"op": "revoke", "call": action.id, "hop": action.attempt},
    api.HealthCheck: lambda action: {"op": "ping", "host": action.server},
    api.CloseIdle: lambda action: {"op": "free_links", "host": action.server},
    api.NotifyPeers: lambda action: {
        "op": "memo_to",
        "recipient": action.peer,
        "content": base64.b64encode(action.content).decode(),
    },
    api.SetTimer: lambda action: {"op": "defer", "sleep_for_ms": action.delay_ms, "token": action.token},
    api.Watch: lambda action: {"op": "stream_changes", "want": action.enabled},
    api.FetchEndpoints: lambda action: {"op": "resolve"},
    api.Log: lambda action: {"op": "write_log", "line": action.line},
}


class SimulatorAdapter:
    """All dispatcher instances of this process; they share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, HostedDispatcher] = {}
        self.now_ms = 0.0

    def handle(self, message: Message) -> list[Message]:
        """Handles one event; returns the resulting actions as messages.

        Raises:
            InvalidMessageError: The message is unknown or malformed.
        """
        name, number = message.get("op"), require_field(message, "dispatcher_id", (int,))
        try:
            actions = self._dispatch(name, number, message)
        except InvalidMessageError:
            raise
        except Exception as error:  # noqa: BLE001 - a fault of one instance must not end the others
            line = f"{name}: {type(error).__name__}: {error}"
            return [{"op": "bug", "dispatcher_id": number, "line": line}]
        replies = [WRITERS[type(action)](action) for action in actions]
        for reply in replies:
            reply["dispatcher_id"] = number
        return replies

    def _dispatch(self, name: Any, number: int, message: Message) -> list[Any]:
        if name == "launch":
            self.instances[number] = HostedDispatcher(message)
            return []
        if name == "killed":
            self.instances.pop(number, None)
            return []
        if name not in READERS:
            raise InvalidMessageError(f"unknown message '{name}'")
        if number not in self.instances:
            raise InvalidMessageError(f"{name}: instance {number} was never launched")
        instance = self.instances[number]
        return instance.dispatcher.handle(self.now_ms, READERS[name](instance, message))


class BatchReader:
    """Processes batches of events, each from a `clock` to a `flush` message."""

    def __init__(self, out: TextIO) -> None:
        """`out` receives the actions, one JSON object per line."""
        self._out = out
        self._adapter = SimulatorAdapter()
        self._replies: list[Message] = []
        self._encode = json.JSONEncoder(separators=(",", ":")).encode
        self.is_batch_open = False

    def process_line(self, line: str) -> None:
        """Processes one line; raises `InvalidMessageError`."""
        message = _parse(line)
        if message["op"] == "clock":
            self._adapter.now_ms = float(require_field(message, "sim_time_ms"))
            self.is_batch_open = True
        elif not self.is_batch_open:
            raise InvalidMessageError(f"'{message['op']}' outside a batch")
        elif message["op"] == "flush":
            self._flush()
        else:
            self._replies += self._adapter.handle(message)

    def _flush(self) -> None:
        lines = "".join(self._encode(reply) + "\n" for reply in self._replies)
        self._out.write(lines + '{"op":"next"}\n')
        self._out.flush()
        self._replies, self.is_batch_open = [], False


def _parse(line: str) -> Message:
    try:
        message = json.loads(line)
    except ValueError as error:
        raise InvalidMessageError("not valid JSON") from error
    if not isinstance(message, dict) or not isinstance(message.get("op"), str):
        raise InvalidMessageError("not a JSON object with a string field 'op'")
    return message


def run(lines: Iterable[str], out: TextIO) -> None:
    """Processes batches until the input ends; raises `InvalidMessageError` with the line number."""
    reader = BatchReader(out)
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            reader.process_line(line)
        except InvalidMessageError as error:
            raise InvalidMessageError(f"line {number}: {error}") from error
    if reader.is_batch_open:
        raise InvalidMessageError("the input ended inside a batch")


def main() -> int:
    """Runs the adapter on standard input and output; returns the exit code."""
    gc.freeze()
    try:
        run(sys.stdin, sys.stdout)
    except InvalidMessageError as error:
        print(f"gladewalk: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_BROKEN_PIPE
    return 0


if __name__ == "__main__":
    sys.exit(main())
