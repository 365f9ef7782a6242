"""Runs an imported nginx site on loopback: stand-in servers for its upstreams, and a director with its front.

Each server of each upstream is a scripted server, which responds with its name and the request line or runs a
script of the test. The addresses in the site's table are replaced by those of the stand-ins.
"""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ..config.options import Options, build_options, read_option_tables
from ..config.platform import Address, read_config
from ..director import Director
from ..errors import GladewalkError
from ..nginx.table import Site, UpstreamRow, write_site
from .coordinator import Coordinator
from .director_harness import config_for
from .http_messages import encode_message, header_names, parse_status, read_head, read_message
from .scripted_servers import Http1Script, ReceivedRequest, ScriptedServer

CRLF = b"\r\n"


class IncompleteBodyError(GladewalkError, ValueError):
    """A chunked body ended before its last chunk (RFC 9112, section 8)."""


async def respond_with_name(request: ReceivedRequest) -> None:
    """Responds with the server's name and the request line in the body, and with the name in `X-Server`."""
    body = f"{request.server.uid} {request.method} {request.path}".encode()
    await request.respond(200, b"" if request.method == "HEAD" else body, X_Server=request.server.uid)


@dataclass(slots=True)
class SiteResponse:
    """A response as a client received it; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def server(self) -> str:
        """The name of the stand-in server that responded; empty if the director did."""
        return self.headers.get("x-server", "")


@dataclass(slots=True, eq=False)
class SiteHarness:
    """Starts a site's stand-in servers and a director; `async with` starts and stops them all.

    A server is named `UPSTREAM/N`, where N is its index in the upstream; `scripts` maps such names to
    scripts.
    """

    site: Site
    scripts: dict[str, Http1Script] = field(default_factory=dict)
    settings: dict[str, object] = field(default_factory=dict)  # further settings of the table `front.http`
    servers: dict[str, ScriptedServer] = field(default_factory=dict)
    director: Director | None = None
    _folder: tempfile.TemporaryDirectory[str] | None = None

    async def __aenter__(self) -> SiteHarness:
        upstreams = [await self._start_upstream(upstream) for upstream in self.site.upstreams]
        self._folder = tempfile.TemporaryDirectory()
        options = self._write_options(Path(self._folder.name), upstreams)
        coordinator = await Coordinator().start()
        config = read_config(config_for([], coordinator), {})
        self.director = Director(config, asyncio.get_running_loop(), None, options)
        await self.director.start()
        coordinator.stop()
        return self

    async def _start_upstream(self, upstream: UpstreamRow) -> UpstreamRow:
        """Starts stand-ins for an upstream's servers and returns the upstream with their addresses."""
        servers = []
        for number, row in enumerate(upstream.servers):
            name = f"{upstream.name}/{number}"
            server = ScriptedServer(self.scripts.get(name, respond_with_name), name)
            self.servers[name] = await server.start()
            servers.append(msgspec.structs.replace(row, address=server.address))
        return msgspec.structs.replace(upstream, servers=servers)

    def _write_options(self, folder: Path, upstreams: list[UpstreamRow]) -> Options:
        moved_site = msgspec.structs.replace(self.site, upstreams=upstreams)
        (folder / "site.toml").write_text(write_site(moved_site), encoding="utf-8")
        keys = list(
            dict.fromkeys(listen.address for server in self.site.servers for listen in server.listens)
        )
        listens = {f"127.0.0.{number + 1}:0": key for number, key in enumerate(keys)}
        front = {"site": "site.toml", "listen": listens, **self.settings}
        return build_options(read_option_tables({"front": {"http": front}}), "t", folder)

    async def __aexit__(self, *error: object) -> None:
        assert self.director is not None and self.director.web is not None and self._folder is not None
        self.director.web.close()
        self.director.front.close()
        self.director.coordinator_watch.close()
        for server in self.servers.values():
            server.stop()
        self._folder.cleanup()

    def address(self, listen: str = "") -> Address:
        """Returns the address at which a listen of the table is served; the first listen if none is named.

        Raises:
            KeyError: The table has no such listen.
        """
        assert self.director is not None and self.director.web is not None
        for front in self.director.web.fronts:
            if listen in ("", front.listen_key):
                return front.address
        raise KeyError(listen)

    async def fetch(
        self,
        uri: str,
        host: str = "example.com",
        method: str = "GET",
        body: bytes = b"",
        listen: str = "",
        **fields: str,
    ) -> SiteResponse:
        """Sends one request on a new connection; `fields` are headers (see `header_names`)."""
        headers = {"Host": host, "Connection": "close", **header_names(fields)}
        if body:
            headers["Content-Length"] = str(len(body))
        return await self.send(
            encode_message(f"{method} {uri} HTTP/1.1", headers, body), method == "HEAD", listen
        )

    async def send(self, data: bytes, is_head: bool = False, listen: str = "") -> SiteResponse:
        """Sends raw bytes on a new connection and returns the response to them."""
        reader, writer = await asyncio.open_connection(*self.address(listen))
        with contextlib.closing(writer):
            writer.write(data)
            if is_head:
                status_line, headers = await read_head(reader)
                return SiteResponse(parse_status(status_line), headers, await reader.read())
            status_line, headers, content = await read_message(reader)
            if headers.get("transfer-encoding") == "chunked":
                content = decode_chunked(await reader.read())
            return SiteResponse(parse_status(status_line), headers, content)


def decode_chunked(data: bytes) -> bytes:
    """Joins the chunks of a body (RFC 9112, section 7.1).

    Raises:
        IncompleteBodyError: The body ends within a chunk.
        ValueError: A chunk has no valid size.
    """
    chunks: list[bytes] = []
    while True:
        line, _, data = data.partition(CRLF)
        size = int(line, 16)
        if not size:
            return b"".join(chunks)
        if len(data) < size + len(CRLF):
            raise IncompleteBodyError(f"a chunk of {size} bytes is incomplete; bytes remaining: {len(data)}")
        chunks.append(data[:size])
        data = data[size + len(CRLF) :]
