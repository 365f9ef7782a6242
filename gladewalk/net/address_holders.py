"""Which listed server holds an address. No I/O.

A server is known by its uid; its address only says where to connect. A new server may be listed at the
address of one that has gone before the list says so. What listens there is the new one, so that the former
one has to count as gone: work that is meant for it would reach the wrong process.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .. import interface as api


@dataclass(slots=True)
class _Holder:
    """A server at an address; the highest serial number came last. A draining one gets nothing new anyway."""

    address: str
    is_ready: bool
    started_ms: float
    serial: int


class AddressHolders:
    """Finds the servers whose addresses others have taken."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        self._names: dict[str, set[str]] = {}  # by address
        self._last_serial = 0

    def resolve(self, servers: Iterable[api.Server], *, is_complete: bool) -> tuple[api.Server, ...]:
        """Returns a list or change of it in which servers whose addresses others have taken are gone.

        A server takes an address by being listed there anew, or with another start of its process. Entries
        for servers that are not in the change but have lost their addresses by it are added.
        """
        listed = {server.name: server for server in servers}
        if is_complete:
            for name in [name for name in self._holders if name not in listed]:
                self._drop(name)
        for server in listed.values():
            self._update(server)
        addresses = {self._holders[name].address for name in listed if name in self._holders}
        displaced = {name for address in addresses for name in self._displaced(address)}
        entries = [_gone(server) if server.name in displaced else server for server in listed.values()]
        unlisted = [_gone_at(name, self._holders[name].address) for name in sorted(displaced - set(listed))]
        return (*entries, *unlisted)

    def _update(self, server: api.Server) -> None:
        if server.state is api.ServerState.GONE or not server.address:
            return self._drop(server.name)
        known = self._holders.get(server.name)
        is_ready = server.state is api.ServerState.READY
        if known is not None and (known.address, known.started_ms) == (server.address, server.started_ms):
            known.is_ready = is_ready
            return
        self._drop(server.name)
        self._last_serial += 1
        self._holders[server.name] = _Holder(server.address, is_ready, server.started_ms, self._last_serial)
        self._names.setdefault(server.address, set()).add(server.name)

    def _drop(self, name: str) -> None:
        known = self._holders.pop(name, None)
        if known is not None:
            self._names[known.address].discard(name)
            if not self._names[known.address]:
                del self._names[known.address]

    def _displaced(self, address: str) -> set[str]:
        """Returns the servers listed ready at an address but for the one that came last."""
        names = self._names[address]
        latest = max(names, key=lambda name: self._holders[name].serial)
        return {name for name in names if name != latest and self._holders[name].is_ready}


def _gone(server: api.Server) -> api.Server:
    return replace(server, state=api.ServerState.GONE)


def _gone_at(name: str, address: str) -> api.Server:
    """Returns the entry of a server that has lost its address; a gone server's other fields are not used."""
    return api.Server(name, api.Role.CACHE, "", state=api.ServerState.GONE, address=address)
