"""Rehearses a configuration: `python -m gladewalk.rehearsal config.json PATH...`

Every server of the configuration is played by a scripted peer on a loopback port of its own; a director with
the configuration's settings stands before them. Each path is matched to its location in nginx's order, asked
for over HTTP and over DNS, and one line says which class it is, who served it and who was named.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import sys
from pathlib import Path
from typing import Any

import dns.name

from ..config import ConfigError, read
from ..dns.names import DnsConfig, Wanted, write_name
from ..importer import Routes
from .peers import Heard, Rehearsal, ScriptedPeer
from .resolver import Resolver

ZONE = dns.name.from_text("rehearsal.example.")
OWN = "127.0.0.1"
LIGHT = 0.1  # transfers that an answer brings: a weight of 1 is a small box, to be named now and then


async def serve(heard: Heard) -> None:
    """A box that holds nothing: it serves what it is given a source for, and all others have everything."""
    if heard.peer.model == "cache" and "miss-to" not in heard.headers:
        return await heard.answer(404)
    await heard.answer(200, b"rehearsal", X_Remark="parent" if "miss-to" in heard.headers else "mem")


def peers_of(raw: dict[str, Any]) -> list[ScriptedPeer]:
    peers = []
    for number, target in enumerate(raw["known"]["updates"][0]["endpoints"]["targets"]):
        peer = ScriptedPeer(serve, target["uid"], target["model"], target["az"], target["capacity_hint"])
        peer.state, peer.host = target["state"], f"127.0.2.{number % 250 + 1}"
        peers.append(peer)
    return peers


async def rehearse(raw: dict[str, Any], paths: list[str]) -> list[str]:
    routes, peers = Routes.read(raw["locations"]), peers_of(raw)
    front = DnsConfig(("127.0.0.1", 0), ZONE, OWN, LIGHT, 1000.0)
    lines = []
    async with Rehearsal(peers, settings=raw["settings"], dns=front) as world:
        assert world.director is not None and world.director.dns is not None
        resolver = Resolver(world.director.dns.address)
        for path in paths:
            location = routes.match(path)
            if location is None:
                lines.append(f"{path}: no location")
                continue
            key = int.from_bytes(hashlib.sha256(path.encode()).digest()[:8], "big")
            before = [len(peer.heard) for peer in peers]
            status, _, _ = await world.ask(f"/invoke/{location.class_name}/{key:x}")
            asked = [peer.uid for peer, had in zip(peers, before, strict=True) if len(peer.heard) > had]
            name = write_name(Wanted(location.class_name, key, 0, 0), ZONE).to_text()
            named = {peer.host: peer.uid for peer in peers} | {OWN: "the director"}
            found = ", ".join(named[address] for address in await resolver.resolve(name))
            served = f"{status} from {', '.join(asked) or 'none'}"
            lines.append(f"{path}: {location.class_name}, {served}; named {found or 'none'}")
    return lines


def main() -> int:
    parser = argparse.ArgumentParser(prog="gladewalk.rehearsal", description="Rehearses a configuration.")
    parser.add_argument("config")
    parser.add_argument("path", nargs="+")
    arguments = parser.parse_args()
    return run(arguments.config, arguments.path)


def run(config: str, paths: list[str]) -> int:
    """Rehearse a configuration file with these paths: the exit code."""
    try:
        raw = json.loads(Path(config).read_text(encoding="utf-8"))
        read(raw, {})
        lines = asyncio.run(rehearse(raw, paths))
    except (OSError, ValueError, KeyError, ConfigError) as error:
        print(f"{config}: {error}", file=sys.stderr)
        return 2
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
