"""A reload of the nginx front takes a new table whole or not at all."""

import asyncio
import contextlib
import json
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import msgspec
import pytest

from gladewalk.config.options import build_options, read_option_tables
from gladewalk.config.platform import Address, ConfigError
from gladewalk.nginx.table import Site, write_site
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.http_messages import encode_message, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from gladewalk.rehearsal.site_harness import respond_with_name
from gladewalk.web.start import prepare_site

from .program import DirectorProgram, start_program
from .test_web import site_of

SITE = """upstream a {{ server {a}; }} upstream b {{ server {b}; }}
    server {{ listen 80; location / {{ proxy_pass http://a; }} location /b/ {{ proxy_pass http://b; }} }}"""


@dataclass
class RunningSite:
    """A director as a process with the nginx front, its files and its two servers."""

    program: DirectorProgram
    folder: Path
    table: Site
    address: Address = ("", 0)

    async def ask(self, path: str) -> tuple[int, str]:
        """Sends a request on a new connection; returns the status and the server that responded."""
        reader, writer = await asyncio.open_connection(*self.address)
        with contextlib.closing(writer):
            return await self.ask_on(reader, writer, path)

    async def ask_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: str
    ) -> tuple[int, str]:
        """Sends a request on an open connection."""
        writer.write(encode_message(f"GET {path} HTTP/1.1", {"Host": "example.com"}))
        message = await asyncio.wait_for(read_message(reader), 10.0)
        return message.status, message.headers.get("x-server", "")

    def write_table(self, table: Site) -> None:
        """Replaces the file with the routing table."""
        (self.folder / "site.toml").write_text(write_site(table), encoding="utf-8")

    def write_listens(self, **keys: str) -> None:
        """Writes the options file; `keys` has a `listen` of the table for the address 127.0.0.N as `nN`."""
        listens = ", ".join(f'"127.0.0.{name[1:]}:0" = "{key}"' for name, key in keys.items())
        text = f'[front.http]\nsite = "site.toml"\nlisten = {{ {listens} }}\n'
        (self.folder / "options.toml").write_text(text)

    def rename_listen(self) -> None:
        """Replaces the table's `listen 80` by `listen 8080`."""
        text = SITE.format(
            a=self.table.upstreams[0].servers[0].address, b=self.table.upstreams[1].servers[0].address
        )
        self.write_table(site_of(text.replace("listen 80;", "listen 8080;")))

    async def reload(self, event: str) -> str:
        """Sends SIGHUP and waits for this event; returns why, if the configuration was kept."""
        self.program.send(signal.SIGHUP)
        return str((await self.program.event(event)).get("why", ""))


@contextlib.asynccontextmanager
async def running_site(folder: Path) -> AsyncIterator[RunningSite]:
    servers = {name: await ScriptedServer(respond_with_name, name).start() for name in "ab"}
    coordinator = await Coordinator().start()
    cache = await ScriptedServer(respond_with_name).start()
    (folder / "node.json").write_text(json.dumps(config_for([cache], coordinator)))
    table = site_of(SITE.format(a=servers["a"].address, b=servers["b"].address))
    (folder / "site.toml").write_text(write_site(table), encoding="utf-8")
    (folder / "options.toml").write_text(
        '[front.http]\nsite = "site.toml"\nlisten = { "127.0.0.1:0" = "*:80" }\n'
    )
    program = await start_program(folder / "node.json", "--config", str(folder / "options.toml"))
    host, port = (await program.event("serving"))["web"][0]
    site = RunningSite(program, folder, table, (host, port))
    try:
        yield site
    finally:
        site.program.send(signal.SIGKILL)
        await site.program.finish()
        coordinator.stop()
        for server in (cache, *servers.values()):
            server.stop()


def with_servers(site: Site, *addresses: str) -> Site:
    """Returns a table whose upstream `a` has servers with these addresses."""
    first, *others = site.upstreams
    (server,) = first.servers
    servers = [msgspec.structs.replace(server, address=address) for address in addresses]
    return msgspec.structs.replace(site, upstreams=[msgspec.structs.replace(first, servers=servers), *others])


@pytest.mark.parametrize("addresses", [("127.0.0.1",), ("127.0.0.1:99999",), ("",), ()])
def test_a_table_with_a_broken_upstream_leaves_every_upstream_in_force(
    addresses: tuple[str, ...], tmp_path: Path
) -> None:
    """Guards against a reload that takes sound upstreams away before it has read all of the others."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            site.write_table(with_servers(site.table, *addresses))
            why = await site.reload("configuration kept")
            assert why.startswith(f"{tmp_path / 'site.toml'}: upstreams: a: ")
            for _ in range(3):
                assert await site.ask("/x") == (200, "a")
                assert await site.ask("/b/x") == (200, "b")
            site.write_table(site.table)
            await site.reload("configuration taken")
            assert await site.ask("/b/x") == (200, "b")

    asyncio.run(scenario())


def test_a_table_with_a_broken_upstream_ends_a_start_with_its_reason(tmp_path: Path) -> None:
    """Guards against a table that a start refuses in another way than a reload."""
    table = site_of(SITE.format(a="127.0.0.1:1", b="127.0.0.1:2"))
    (tmp_path / "site.toml").write_text(write_site(with_servers(table, "127.0.0.1")), encoding="utf-8")
    front = {"site": "site.toml", "listen": {"127.0.0.1:0": "*:80"}}
    options = build_options(read_option_tables({"front": {"http": front}}), "t.toml", tmp_path)
    with pytest.raises(ConfigError, match=r"site\.toml: upstreams: a: not an address"):
        prepare_site(options, "n1", 1)


# Listeners.


def test_a_listener_whose_listen_was_renamed_serves_by_the_new_one(tmp_path: Path) -> None:
    """Guards against a listener that looks its old name up in a table which no longer has it."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            reader, writer = await asyncio.open_connection(*site.address)
            assert await site.ask_on(reader, writer, "/x") == (200, "a")
            site.rename_listen()
            site.write_listens(n1="*:8080")
            await site.reload("configuration taken")
            assert await site.ask("/b/x") == (200, "b")
            assert await site.ask_on(reader, writer, "/b/x") == (200, "b")  # on the old connection, too
            writer.close()

    asyncio.run(scenario())


def test_a_table_without_the_listen_of_a_served_address_is_refused(tmp_path: Path) -> None:
    """Guards against a listener that goes on with a name which the table no longer has."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            site.rename_listen()
            site.write_listens(n2="*:8080")  # the served address is removed, and can't be closed
            why = await site.reload("configuration kept")
            assert why.endswith(
                "front.http.listen: 127.0.0.1:0 is served as *:80, which the table no longer has"
            )
            assert await site.ask("/x") == (200, "a")

    asyncio.run(scenario())


def test_addresses_that_a_reload_adds_or_removes_are_said_to_need_a_restart(tmp_path: Path) -> None:
    """Guards against a reload that seems to open or close a listener and does not."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            site.write_listens(n2="*:80")
            site.program.send(signal.SIGHUP)
            events = [await site.program.event("listen_address_needs_restart") for _ in range(2)]
            assert [event["listen"] for event in events] == [["127.0.0.1", 0], ["127.0.0.2", 0]]
            assert await site.ask("/x") == (200, "a")

    asyncio.run(scenario())
