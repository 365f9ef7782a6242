"""An imported site on loopback: stand-in servers for its upstreams, and a director with the front.

Each server of each upstream is played by a scripted one that says who it is and what it was asked for; a
script of the test's own may do something else. Addresses of the table are moved to where stand-ins listen.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ..config.options import build_options, read_option_tables
from ..config.platform import read_config
from ..director import Director
from ..nginx.table import Site, write_site
from .peers import Coordinator, Heard, ScriptedPeer, config_for, read_message

Script = Callable[[Heard], Awaitable[None]]


async def name_itself(heard: Heard) -> None:
    """Who it is and what it was asked for, in the body and in a field."""
    body = f"{heard.peer.uid} {heard.method} {heard.path}".encode()
    await heard.answer(200, b"" if heard.method == "HEAD" else body, X_Server=heard.peer.uid)


@dataclass(slots=True)
class Answer:
    status: int
    fields: dict[str, str]
    body: bytes

    @property
    def by(self) -> str:
        return self.fields.get("x-server", "")


@dataclass(slots=True, eq=False)
class WebWorld:
    """`async with WebWorld(site) as world`; a server's name is that of its upstream and its place in it."""

    site: Site
    scripts: dict[str, Script] = field(default_factory=dict)
    settings: dict[str, object] = field(default_factory=dict)
    servers: dict[str, ScriptedPeer] = field(default_factory=dict)
    director: Director | None = None
    _folder: tempfile.TemporaryDirectory[str] | None = None

    async def __aenter__(self) -> WebWorld:
        upstreams = []
        for upstream in self.site.upstreams:
            boxes = []
            for number, box in enumerate(upstream.servers):
                name = f"{upstream.name}/{number}"
                server = ScriptedPeer(self.scripts.get(name, name_itself), name)
                self.servers[name] = await server.start()
                boxes.append(msgspec.structs.replace(box, address=server.address))
            upstreams.append(msgspec.structs.replace(upstream, servers=boxes))
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        moved = msgspec.structs.replace(self.site, upstreams=upstreams)
        (folder / "site.toml").write_text(write_site(moved), encoding="utf-8")
        keys = list(dict.fromkeys(listen.address for s in self.site.servers for listen in s.listens))
        listens = {f"127.0.0.{number + 1}:0": key for number, key in enumerate(keys)}
        front = {"site": "site.toml", "listen": listens, **self.settings}
        options = build_options(read_option_tables({"front": {"http": front}}), "t", folder)
        coordinator = await Coordinator().start()
        config = read_config(config_for([], coordinator), {})
        self.director = Director(config, asyncio.get_running_loop(), None, options)
        await self.director.start()
        coordinator.stop()
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self.director is not None and self.director.web is not None and self._folder is not None
        self.director.web.close()
        self.director.front.close()
        self.director.coordinator_watch.close()
        for server in self.servers.values():
            server.stop()
        self._folder.cleanup()

    def address(self, listen: str = "") -> tuple[str, int]:
        """Where one of the table's listens is played; the first if none is named."""
        assert self.director is not None and self.director.web is not None
        for front in self.director.web.fronts:
            if listen in ("", front.listen_key):
                return front.address
        raise KeyError(listen)

    async def ask(
        self, uri: str, host: str = "example.com", method: str = "GET", body: bytes = b"", listen: str = "",
        **fields: str,
    ) -> Answer:  # fmt: skip
        """One request on a connection of its own."""
        lines = [f"{method} {uri} HTTP/1.1", f"Host: {host}", "Connection: close"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return await self.say(("\r\n".join(lines) + "\r\n\r\n").encode() + body, method == "HEAD", listen)

    async def say(self, data: bytes, head: bool = False, listen: str = "") -> Answer:
        """Whatever bytes; the one answer to them."""
        reader, writer = await asyncio.open_connection(*self.address(listen))
        try:
            writer.write(data)
            if head:
                text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                pairs = (line.partition(":") for line in text[1:-2])
                fields = {name.lower(): value.strip() for name, _, value in pairs}
                return Answer(int(text[0].split(" ")[1]), fields, await reader.read())
            first, fields, content = await read_message(reader)
            if fields.get("transfer-encoding") == "chunked":
                content = unchunked(await reader.read())
            return Answer(int(first.split(" ")[1]), fields, content)
        finally:
            writer.close()


def unchunked(data: bytes) -> bytes:
    """A chunked body as one piece; `ValueError` for one that was cut."""
    parts: list[bytes] = []
    while True:
        line, _, data = data.partition(b"\r\n")
        size = int(line, 16)
        if not size:
            return b"".join(parts)
        if len(data) < size + 2:
            raise ValueError("cut")
        parts.append(data[:size])
        data = data[size + 2 :]
