"""Data and helpers of the golden tests of the control socket, the configuration and the command line."""

from __future__ import annotations

import dataclasses
import json
import os
import socket
import threading
from collections.abc import Iterator
from contextlib import chdir, contextmanager
from enum import Enum
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from gladewalk.cli.commands import gladewalk
from gladewalk.rehearsal.director_harness import SETTINGS

ROOT = Path(__file__).parent.parent
GOLDEN = Path(__file__).parent / "golden" / "control.json"
PLATFORM_CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "seed": "1f",
    "limits": {"sockets": 256, "memory_mb": 64},
    "coordinator": "127.0.0.1:1",
    "known": {"index": 0, "updates": []},
    "settings": SETTINGS,
}
FULL_SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "a", "promise_ms": 1.0, "give_up_ms": 2.0, "repeat": "repeatable", "aim_stretch": 3.0},
        {
            "name": "b",
            "promise_ms": 4.0,
            "give_up_ms": 5.0,
            "repeat": "by_key",
            "importance": 6.0,
            "late_worth": 7.0,
            "key_scope": "zone",
            "window_ms": 8.0,
            "streaming": True,
        },
        {"name": "c", "promise_ms": 9.0, "give_up_ms": 10.0, "repeat": "once", "key_scope": "cell"},
    ],
    "me": 2,
    "n_instances": 3,
    "my_zone": "north",
    "zones": ["north", "edge-1"],
    "weights": "silent",
    "discovery": "subscribe",
    "feedback": {"how": "pull"},
    "limits": {
        "most_tries": 11,
        "may_duplicate": True,
        "cancel": True,
        "may_probe": True,
        "peers": True,
        "retry_after": True,
        "max_retry_after_ms": 12.0,
    },
    "prices": {"origin": 13.0},
    "invariants": {
        "answer_slack_ms": 14.0,
        "drain_grace_ms": 15.0,
        "cold_from": 0.16,
        "ramp_time_ms": 17.0,
        "fall_multiple": 18.0,
        "tip_after_ms": 19.0,
    },
    "kinds": ["standard", "parent", "origin"],
    "specifics": {
        "upper_kind": 1,
        "origin_kind": 2,
        "hub_of": [0, 1],
        "instances_by_zone": [2, 1],
        "link_in_kb_per_s": [20.0, 21.0],
        "client_kb_per_s": 22.0,
        "lifetime_by_class_ms": [23.0],
        "class_grace_ms": [0.0, 24.0],
        "stale_earns": [25.0, 26.0, 27.0],
        "class_parts": [True],
        "uncached": [False, True],
        "may_pass_by": True,
        "joins": True,
        "lateral": "location",
        "note_level": "hit",
        "byte_fee": 28.0,
        "parent_floor": 0.29,
        "parent_cold_ms": 30.0,
        "parent_fall_multiple": 31.0,
        "obey_after_ms": 32.0,
        "purge_settles_ms": 33.0,
        "origin_limit_factor": 34.0,
        "root_fall_ms": 35.0,
    },
}
INVALID_SETTINGS: list[Any] = [
    {},
    {"classes": 1},
    {"classes": [1]},
    {"classes": [{}]},
    {"classes": [{"name": "a"}]},
    {"classes": [{"name": "a", "promise_ms": True}]},
    {"classes": [{"name": "a", "promise_ms": 1.0, "give_up_ms": 0}]},
    {"classes": [{"name": "a", "promise_ms": 1.0, "give_up_ms": "3s"}]},
    {"classes": [{"name": "a", "promise_ms": 1.0}]},
    {"classes": [{"name": "a", "promise_ms": 1.0, "give_up_ms": 1.0}]},
    {"classes": [{"name": "a", "promise_ms": 1.0, "give_up_ms": 1.0, "repeat": "often"}]},
    {**SETTINGS, "limits": {"most_tries": -1}},
    {**SETTINGS, "limits": {"most_tries": True}},
]
INVALID_PLATFORM: list[Any] = [
    None,
    [],
    {},
    {**PLATFORM_CONFIG, "settings": None},
    {**PLATFORM_CONFIG, "listen": "nowhere"},
    {**PLATFORM_CONFIG, "listen": "127.0.0.1:99999"},
    {**PLATFORM_CONFIG, "listen": "a..b:80"},
    {**PLATFORM_CONFIG, "coordinator": None},
    {**PLATFORM_CONFIG, "coordinator": "a\0b:80"},
    {**PLATFORM_CONFIG, "seed": "xyz"},
    {**PLATFORM_CONFIG, "known": {"updates": 1}},
    {**PLATFORM_CONFIG, "known": {"updates": [1]}},
    {**PLATFORM_CONFIG, "limits": {"sockets": "many"}},
    {**PLATFORM_CONFIG, "admin_addr": "there"},
    *({**PLATFORM_CONFIG, "settings": invalid} for invalid in INVALID_SETTINGS),
]
# Python itself raises the errors of these, with texts that name internal types and may change. The golden
# file therefore has only the exit code, the start of the text and its number of lines.
INVALID_PLATFORM_TYPES: list[Any] = [
    {**PLATFORM_CONFIG, "known": []},
    {**PLATFORM_CONFIG, "settings": {**SETTINGS, "limits": 3}},
    {**PLATFORM_CONFIG, "settings": {**SETTINGS, "zones": 3}},
    {
        **PLATFORM_CONFIG,
        "settings": {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "key_scope": "world"}]},
    },
]
INVALID_OPTIONS = [
    "[http2",
    "a = 1",
    "http2 = 1",
    "[http2]\nmode = 'h3'",
    "[http2]\nmodes = 'h2c'",
    "[http2]\nstreams_most = 0",
    "[http2]\nstreams_most = 'many'",
    "[http2]\nping_after_ms = nan",
    "[http2.by_uid]\nc1 = 'on'",
    "[http2]\nmode = 'tls'",
    "[http2]\nby_uid = {c1 = 'tls'}",
    "[tls]\nca = 'x'\nkey = 'k'",
    "[tls]\nname = '{box}'",
    "[tls]\nname = '.{uid}'",
    "[http2]\nmode = 'tls'\n[tls]\nca = 'none.pem'",
    "[dns]\nlisten = '127.0.0.1:0'",
    "[dns]\nlisten = 'x'\nzone = 'z.'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'a..b'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\nzones = ['z.']",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\nown_address = 'here'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\nnameservers = {n = ['x']}",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\nhostmaster = 'a..b'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\necs_from = ['x']",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\nrecords = 'none'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\ncookies = 'none'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\ncookies = 'open.keys'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\nttl_least_ms = 3000.0",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\ntls_listen = 'x'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\ntls_listen = '127.0.0.1:0'",
    "[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\ntls_listen = '127.0.0.1:0'\n"
    "tls_certificate = 'none'\ntls_key = 'none'",
    "[members]\nlisten = 'x'\nkeys = 'good.keys'",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\nseeds = ['x']",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\nnetworks = ['x']",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\ndial = {x = 'y'}",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'none.keys'",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'open.keys'",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'short.keys'",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'twice.keys'",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'empty.keys'",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'binary.keys'",
    "[members]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\nweight = 0.0",
    "[control]\nsocket = ''",
    "[control]\nsocket = 'none/c.sock'",
    "[control]\nsocket = 'good.keys'",
    f"[control]\nsocket = '{'x' * 120}'",
    "[store]\nfolder = 's'\npolicy = 'often'",
    "[leases]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\npeers = {n1 = '127.0.0.1:1'}",
    "[leases]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\npeers = {n2 = '127.0.0.1:1'}",
    "[leases]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\npeers = {n1 = '127.0.0.1:1'}\n"
    "duties = {sweep = '127.0.0.1:1'}",
    "[front.http]\nsite = 'none.toml'\nlisten = {}",
    "[front.http]\nsite = 'site.toml'\nlisten = {'127.0.0.1:0' = '*:80'}",
]
INVALID_DNS = [
    "zone",
    "listen = 'x'",
    "listen = 'x'\nzone = 'z.'",
    "listen = '127.0.0.1:0'\nzone = 'z.'\nmode = 1",
]
INVALID_SCENARIOS = [
    "seconds",
    "second = 1.0",
    "seconds = -1.0",
    "[traffic]\nshares = {other = 1.0}",
    "[traffic]\nshares = {bid = 0.0}",
    "[[fault]]\nat_s = 1.0\nkind = 'rain'",
    "[[fault]]\nat_s = 1.0\nkind = 'silent'\nwho = 'box-99'",
    "[[fault]]\nat_s = 1.0\nkind = 'drain'\nwho = 'hub-0'",
    "[[fault]]\nat_s = 1.0\nkind = 'purge'\namount = 2.0",
    "[[fault]]\nat_s = 59.0\nkind = 'feed'",
]
COMMANDS = [
    "run", "check", "members", "leases", "hand-on", "purge", "import", "route", "rehearse", "play", "hunt",
    "store", "store status", "store check", "store dump", "store compact", "store repair", "dns",
    "dns conform",
]  # fmt: skip


def without_names(value: Any) -> Any:
    """Returns a value without the names of its fields and types, so that these can be renamed."""
    if isinstance(value, Enum):
        return f"member {list(type(value)).index(value)}"
    if dataclasses.is_dataclass(value):
        return [without_names(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, dict):
        return [[without_names(key), without_names(item)] for key, item in value.items()]
    return [without_names(item) for item in value] if isinstance(value, (tuple, list)) else value


def with_type_names(value: Any) -> Any:
    """Returns a response with each value replaced by the name of its type; keys keep their order."""
    if isinstance(value, dict):
        return {key: "figures" if key == "counters" else with_type_names(item) for key, item in value.items()}
    return [with_type_names(item) for item in value] if isinstance(value, list) else type(value).__name__


class CommandFolder:
    """A folder with the files that the test cases name; runs the command line within the folder."""

    def __init__(self, path: Path) -> None:
        self.path = path
        key = "ab" * 32
        for name, text in {
            "good.keys": key,
            "open.keys": key,
            "short.keys": "abab",
            "twice.keys": f"{key}\n{key}",
            "empty.keys": "# none\n",
        }.items():
            (path / name).write_text(text)
        (path / "binary.keys").write_bytes(b"\xff\xfe")
        (path / "site.toml").write_text("version = 1")
        for key_file in path.glob("*.keys"):
            key_file.chmod(0o644 if key_file.name == "open.keys" else 0o600)
        self.write_platform_config(PLATFORM_CONFIG)

    def write_platform_config(self, config: Any) -> None:
        (self.path / "node.json").write_text(config if isinstance(config, str) else json.dumps(config))

    def write(self, name: str, text: str) -> str:
        (self.path / name).write_text(text)
        return str(self.path / name)

    def run(self, *arguments: str) -> list[Any]:
        """Returns exit code, standard output and standard error, with the folder's path replaced by `DIR`."""
        env = {"NODE_CONFIG": str(self.path / "node.json"), "COLUMNS": "110"}
        with chdir(self.path):
            result = CliRunner(env=env).invoke(gladewalk, list(arguments))
        return [
            result.exit_code,
            *(text.replace(str(self.path), "DIR") for text in (result.stdout, result.stderr)),
        ]


@contextmanager
def respond_to_requests(path: Path, response: str) -> Iterator[list[bytes]]:
    """Opens a control socket that responds to every request alike; yields the list of received requests."""
    requests: list[bytes] = []

    def serve() -> None:
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            with connection:
                line = b""
                while not line.endswith(b"\n") and (chunk := connection.recv(65_536)):
                    line += chunk
                requests.append(line)
                connection.sendall(response.encode())

    with socket.socket(socket.AF_UNIX) as server:
        server.bind(os.fspath(path))
        server.listen()
        thread = threading.Thread(target=serve)
        thread.start()
        try:
            yield requests
        finally:
            server.shutdown(socket.SHUT_RDWR)
            thread.join()
            path.unlink()


def build_member(name: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name, "address": "10.0.0.1:7400", "state": "alive", "incarnation": 3, "run": 17,
        "weight": 1.5, "heard_ms": 12_345.6, "duties": 4, "health": 0, "stalled": False, "knocked": None,
        **more,
    }  # fmt: skip


MEMBERS = {
    "name": "n1",
    "active": True,
    "health": 0,
    "stretch": 1.25,
    "members": [
        build_member("n1", state="self", heard_ms=0.0, health=2),
        build_member("n2", stalled=True),
        build_member("n3", state="suspect", heard_ms=200_000.0),
        build_member("n4", state="dead", heard_ms=999.0, incarnation=7),
        build_member("n5", state="left"),
    ],
    "owned": [{"duty": "load/c0", "epoch": 2, "due_ms": 3.5}],
    "duties": {"load": 3, "alive": 2},
    "counters": {"members.pings": 5},
}
LEASES = {
    "name": "n1",
    "holding": {
        "purge": {"token": 5, "left_ms": 812.3, "highest": 5, "for_ms": 9.0},
        "report": {"token": 0, "left_ms": 0.0, "highest": 4, "for_ms": 8.0},
        "sweep": {"token": 0, "left_ms": 0.0, "highest": 0, "for_ms": 7.0},
    },
    "granting": {
        "purge": {"holder": "n1", "term": 5, "left_ms": 912.0},
        "report": {"holder": "n2", "term": 4, "left_ms": 0.0},
    },
    "works": {"orders_open": 1, "orders_finished": 2, "acts_waiting": 3},
}
STORE = {
    "policy": "group", "feed": 0, "durable": 10, "sequence": 12, "keys": 9, "bytes": 4_096, "segments": 2,
    "compactions": 1, "refused_by_disk": False, "purges": ["a1"],
}  # fmt: skip
PURGE_STATUS = {"id": "n1/1/1", "acknowledged": True, "state": "open", "keepers": ["n1", "n2"], "token": 0}
RESPONSES: list[tuple[list[str], Any]] = [
    (["members"], MEMBERS),
    (["members"], {**MEMBERS, "active": False, "health": 3, "duties": {}, "owned": []}),
    (["members", "--json"], MEMBERS),
    (["leases"], LEASES),
    (["leases", "--json"], LEASES),
    (["hand-on", "purge", "--to", "n2"], {"duty": "purge", "term": 5, "to": "n2"}),
    (["hand-on", "purge"], {"duty": "purge", "term": 5, "to": ""}),
    (["hand-on", "purge", "--json"], {"duty": "purge", "term": 5, "to": ""}),
    (["purge", "o:a1"], PURGE_STATUS),
    (["purge", "o:a1", "--json"], PURGE_STATUS),
    (["purge", "o:a1"], {**PURGE_STATUS, "state": "finished", "token": 5}),
    (["purge", "o:a1", "--wait-s", "0.01"], {**PURGE_STATUS, "acknowledged": False, "keepers": []}),
    (["store", "status"], STORE),
    (["store", "status"], {**STORE, "feed": 7, "refused_by_disk": True}),
    (["store", "status", "--json"], STORE),
]
INVALID_RESPONSES = [
    "220 hello\n", '{"v":7,"data":1}\n', '{"v":1,"error":"no view"}\n', '{"v":1}\n', '{"data":1}\n', "",
    '{"v":1,"error":7}\n', "[]\n",
]  # fmt: skip
