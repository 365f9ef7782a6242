"""Golden tests of the configuration, the control socket, the second address and the command line.

`tests/golden/control.json` was captured from the program at 090a370. Output that operators, scripts or older
versions of the program read must stay equal byte for byte. `python -m tests.test_golden_control` captures the
file again, which only a deliberate change of a format justifies.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gladewalk.cli.commands import gladewalk
from gladewalk.config import options, policy_settings
from gladewalk.config.platform import read_config

from .golden_control_data import (
    COMMANDS,
    FULL_SETTINGS,
    GOLDEN,
    INVALID_DNS,
    INVALID_OPTIONS,
    INVALID_PLATFORM,
    INVALID_PLATFORM_TYPES,
    INVALID_RESPONSES,
    INVALID_SCENARIOS,
    PLATFORM_CONFIG,
    RESPONSES,
    ROOT,
    CommandFolder,
    respond_to_requests,
    with_type_names,
    without_names,
)


def capture_commands(folder: CommandFolder) -> Any:
    """Captures the requests that commands send to the control socket, and their output for each response."""
    path = folder.path / "c.sock"
    options_path = folder.write("own.toml", "[control]\nsocket = 'c.sock'\n")
    found: list[dict[str, Any]] = []
    for arguments, data in RESPONSES:
        line = json.dumps({"v": 1, "data": data}, separators=(",", ":")) + "\n"
        with respond_to_requests(path, line) as requests:
            result = folder.run(*arguments, "--config", options_path)
        distinct = list(dict.fromkeys(request.decode() for request in requests))
        found.append({"words": arguments, "asked": distinct, "done": result})
    for text in INVALID_RESPONSES:
        with respond_to_requests(path, text):
            found.append({"answer": text, "done": folder.run("members", "--socket", str(path))})
    found.append({"nobody": folder.run("members", "--config", options_path)})
    found.append({"neither": folder.run("members")})
    found.append({"off": folder.run("members", "--config", folder.write("off.toml", ""))})
    found.append({"none": folder.run("members", "--config", str(folder.path / "none.toml"))})
    return found


def capture_invalid_files(folder: CommandFolder) -> Any:
    """Captures the error and the exit code for each kind of file that cannot be used."""
    found: dict[str, list[Any]] = {"platform": [], "options": [], "dns": [], "scenario": []}
    for config in [*INVALID_PLATFORM, "{", "\x00", "NaN"]:
        folder.write_platform_config(config)
        found["platform"].append(folder.run("check"))
    for config in INVALID_PLATFORM_TYPES:
        folder.write_platform_config(config)
        exit_code, output, error_text = folder.run("check")
        found["platform"].append([exit_code, output, error_text[:26], error_text.count("\n")])
    folder.write_platform_config(PLATFORM_CONFIG)
    for text in INVALID_OPTIONS:
        found["options"].append([text, *folder.run("check", "--config", folder.write("own.toml", text))])
    for text in INVALID_DNS:
        found["dns"].append([text, *folder.run("check", "--dns", folder.write("dns.toml", text))])
    for text in INVALID_SCENARIOS:
        found["scenario"].append([text, *folder.run("play", folder.write("day.toml", text))])
    found["options"].append(folder.run("check", "--config", str(folder.path / "none.toml")))
    found["dns"].append(folder.run("check", "--dns", str(folder.path / "none.toml")))
    found["scenario"].append(folder.run("play", str(folder.path / "none.toml")))
    return found


def capture_printed(folder: CommandFolder) -> Any:
    """Captures the output of commands that need no running director."""
    folder.write_platform_config({**PLATFORM_CONFIG, "known": {"index": 4, "updates": []}})
    (folder.path / "store").mkdir(exist_ok=True)
    options_path = folder.write(
        "own.toml",
        "[http2]\nmode = 'h2c'\n[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\n[control]\nsocket = 'c.sock'\n"
        "[store]\nfolder = 'kept'\n[members]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\n",
    )
    nginx_path = "nginx.conf"  # relative, as the length of a path affects the line breaks of the output
    folder.write(
        nginx_path,
        "events {}\nhttp { upstream u { server 10.0.0.1:80; } server { listen 80; server_name a.example;\n"
        "location / { proxy_pass http://u; } location /x { return 404; } } }\n",
    )
    scenario_path = folder.write("day.toml", "seconds = 2.0\n[traffic]\nper_s = 2.0\n")
    play_result = folder.run("play", scenario_path, "--json", "--seed", "3")
    return {
        "check": folder.run("check"),
        "check --json": folder.run("check", "--json"),
        "check --json --config": folder.run("check", "--json", "--config", options_path),
        "import": folder.run("import", nginx_path),
        "route": folder.run("route", nginx_path, "/x", "--host", "a.example"),
        "route bad": folder.run("route", nginx_path, "/x", "--from", "nowhere"),
        "import --diff": folder.run("import", nginx_path, "--diff", nginx_path),
        "import none": folder.run("import", "none.conf"),
        "rehearse none": folder.run("rehearse", "none.conf", "/"),
        "play --json": [play_result[0], with_type_names(json.loads(play_result[1])), play_result[2]],
        "store check": folder.run("store", "check", str(folder.path / "store")),
        "store dump none": folder.run("store", "dump", str(folder.path / "none")),
        "dns conform --list": folder.run("dns", "conform", "x", "z.", "--class", "c", "--list"),
        "dns conform bad": folder.run("dns", "conform", "x", "z.", "--class", "c"),
        "options before a command": folder.run("--config", options_path, "check"),
        "unknown": folder.run("frobnicate"),
        "--version": folder.run("--version")[0],
    }


def capture_help(folder: CommandFolder) -> Any:
    """Captures each command's arguments, options and defaults, and that the command has help."""
    found = {}
    for command_name in ["", *COMMANDS]:
        command: Any = gladewalk
        for subcommand in command_name.split():
            command = command.commands[subcommand]
        parameters = [
            {
                "kind": parameter.param_type_name,
                "names": parameter.opts,
                "type": parameter.type.name,
                "required": parameter.required,
                "default": parameter.default if isinstance(parameter.default, (str, int, float)) else None,
            }
            for parameter in command.params
        ]
        exit_code, text, _ = folder.run(*command_name.split(), "--help")
        last_section = [line.split()[0] for line in text.split("Commands:")[-1].splitlines() if line.strip()]
        listed_commands = last_section if "Commands:" in text else []
        found[command_name] = {"code": exit_code, "parameters": parameters, "commands": listed_commands}
    return found


def capture_settings(folder: CommandFolder) -> Any:
    """Captures the values of converted platform settings, without the names of fields and types."""
    configs = [
        PLATFORM_CONFIG,
        {**PLATFORM_CONFIG, "settings": FULL_SETTINGS, "admin_addr": "[::1]:7", "known": {"index": 2}},
    ]
    environ = {"NODE_NAME": "n7", "NODE_LISTEN": "h:1", "NODE_ADMIN_ADDR": "h:2", "NODE_FD": "3"}
    return {
        "plain": [without_names(read_config(raw_config, {})) for raw_config in configs],
        "environ": without_names(read_config({**PLATFORM_CONFIG, "name": 5, "listen": 5}, environ)),
        "settings": without_names(policy_settings.read_settings(FULL_SETTINGS)),
        "roles": without_names(policy_settings.read_roles(FULL_SETTINGS)),
        "load": policy_settings.read_load_report(
            {"outstanding": 1, "backlog": 2, "utilization": 3, "other": 4, "x0": 5}
        ),
        "no load": policy_settings.read_load_report([]),
    }


def capture_options(folder: CommandFolder) -> Any:
    """Captures the keys of the options file, with their defaults."""
    required = {
        "dns": {"listen": "127.0.0.1:0", "zone": "z."},
        "members": {"listen": "127.0.0.1:0", "keys": "k"},
        "control": {"socket": "c"},
        "leases": {"listen": "127.0.0.1:0", "keys": "k", "peers": {}},
        "front": {"http": {"site": "s", "listen": {}}},
        "store": {"folder": "f"},
    }
    return json.loads(msgspec.json.encode(options.read_option_tables(required)))


def free_port(kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def exchange(address: Any, payload: bytes) -> str:
    """Sends bytes to an address; returns all that it sends back until it closes the connection."""
    family = socket.AF_UNIX if isinstance(address, str) else socket.AF_INET
    with socket.socket(family) as connection:
        connection.settimeout(20.0)
        connection.connect(address if isinstance(address, str) else tuple(address))
        connection.sendall(payload)
        if isinstance(address, str):
            connection.shutdown(socket.SHUT_WR)
        chunks = []
        while chunk := connection.recv(65_536):
            chunks.append(chunk)
    return b"".join(chunks).decode()


CONTROL_LINES = [
    b"noise\n", b"[]\n", b"{}\n", b'{"v":1}\n', b'{"v":1,"ask":1}\n', b'{"v":1,"ask":"views","given":1}\n',
    b'{"v":2,"ask":"views"}\n', b'{"v":1,"ask":"nothing"}\n', b'{"v":1,"ask":"views","given":{}}\n',
    b'{"v":1,"ask":"views","more":2}\n{"v":1,"ask":"views"}\n', b'{"v":1,"ask":"views"}', b"x" * 70_000,
    b'{"v":1,"ask":"hand_on","given":{"duty":"none"}}\n',
    b'{"v":1,"ask":"hand_on","given":{"duty":"purge","to":"n9"}}\n',
    b'{"v":1,"ask":"purge","given":{"what":""}}\n', b'{"v":1,"ask":"order","given":{"id":"none"}}\n',
]  # fmt: skip
QUERIES = ["members", "leases", "store"]
ADMIN_REQUESTS = [
    b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n", b"GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /ops/none HTTP/1.1\r\nHost: x\r\n\r\n", b"PUT /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
    b"noise\r\n\r\n", b"GET /ops/readiness?x=1 HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /" + b"x" * 9_000 + b" HTTP/1.1\r\n\r\n",
    b"PUT /ops/drain/start HTTP/1.1\r\nHost: x\r\n\r\n", b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
    b"PUT /ops/drain/start HTTP/1.1\r\nHost: x\r\n\r\n", b"PUT /ops/drain/stop HTTP/1.1\r\nHost: x\r\n\r\n",
    b"PUT /ops/drain/stop HTTP/1.1\r\nHost: x\r\n\r\n", b"GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n",
]  # fmt: skip


def capture_program(folder: CommandFolder) -> Any:
    """Captures a director's responses at the control socket and the second address, and names in its log."""
    folder.write_platform_config({**PLATFORM_CONFIG, "admin_addr": "127.0.0.1:0"})
    hub_port, lease_port = free_port(socket.SOCK_DGRAM), free_port(socket.SOCK_DGRAM)
    options_path = folder.write(
        "own.toml",
        "[control]\nsocket = 'c.sock'\n[store]\nfolder = 'kept'\n"
        "[members]\nlisten = '127.0.0.1:0'\nkeys = 'good.keys'\n"
        f"[leases]\nlisten = '127.0.0.1:{lease_port}'\nkeys = 'good.keys'\nhubs = ['127.0.0.1:{hub_port}']\n"
        f"peers = {{n1 = '127.0.0.1:{lease_port}'}}\n",
    )
    path = str(folder.path / "c.sock")
    program = subprocess.Popen(
        [sys.executable, "-m", "gladewalk", "run", "--config", options_path],
        cwd=ROOT, env={**os.environ, "NODE_CONFIG": str(folder.path / "node.json")},
        stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert program.stderr is not None
        events: list[dict[str, Any]] = []
        while not events or events[-1]["event"] != "serving":
            events.append(json.loads(program.stderr.readline()))
        admin = events[-1]["admin"]
        # No coordinator responds, so the director is ready only after its wait for the coordinator.
        while " 200 " not in exchange(admin, ADMIN_REQUESTS[0]):
            pass
        responses = {}
        for query in QUERIES:
            line = exchange(path, json.dumps({"v": 1, "ask": query}).encode() + b"\n")
            decoded = json.loads(line)
            assert line == json.dumps(decoded, separators=(",", ":"), ensure_ascii=False) + "\n"
            responses[query] = with_type_names(decoded)
        found: dict[str, Any] = {
            "questions": [
                [control_line.decode()[:100], exchange(path, control_line)] for control_line in CONTROL_LINES
            ],
            "views": responses,
            "calls": [[call.decode()[:100], exchange(admin, call)] for call in ADMIN_REQUESTS],
        }
        program.send_signal(signal.SIGTERM)
        _, remaining_log = program.communicate(timeout=30.0)
        lines = [json.loads(line) for line in remaining_log.splitlines()]
        counters = lines[-1]
        found["drain"] = [
            {"event": line["event"], "on": line["on"], "keys": sorted(line)}
            for line in lines
            if line["event"] == "drain"
        ]
        found["counters"] = {
            name: count
            for name, count in counters.items()
            if name.startswith(("control.", "admin.", "reloads.")) and name != "admin.calls"
        }
        found["exit"] = program.returncode
    finally:
        program.kill()
        program.wait()
        if program.stderr is not None:
            program.stderr.close()
    return found


CAPTURES: dict[str, Callable[[CommandFolder], Any]] = {
    "commands": capture_commands,
    "bad files": capture_invalid_files,
    "printed": capture_printed,
    "help": capture_help,
    "settings": capture_settings,
    "options": capture_options,
    "program": capture_program,
}


def capture(name: str, path: Path) -> Any:
    return json.loads(json.dumps(CAPTURES[name](CommandFolder(path))))


@pytest.mark.parametrize("name", CAPTURES)
def test_output_matches_the_golden_file(name: str) -> None:
    # A short path, as a Unix socket's path may have at most 107 bytes.
    with tempfile.TemporaryDirectory() as folder:
        assert capture(name, Path(folder)) == json.loads(GOLDEN.read_text(encoding="utf-8"))[name]


def main() -> None:
    found = {}
    for name in CAPTURES:
        with tempfile.TemporaryDirectory() as folder:
            found[name] = capture(name, Path(folder))
    GOLDEN.write_text(json.dumps(found, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
