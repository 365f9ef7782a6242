"""Which listed server holds an address. No I/O.

A server is known by its uid; its address only says where to connect. A new server may be listed at the
address of one that has gone before the list says so. What listens there is the new one, so that the former
one may get nothing more: work that is meant for it would reach the wrong process.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .. import interface as api


@dataclass(slots=True)
class _Holder:
    """A server as it was listed last; of those at an address the highest serial number came last."""

    server: api.Server
    serial: int


class AddressHolders:
    """Finds the servers whose addresses others have taken."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        self._names: dict[str, set[str]] = {}  # by address
        self._last_serial = 0

    def resolve(self, servers: Iterable[api.Server], *, is_complete: bool) -> tuple[api.Server, ...]:
        """Returns a list or change of it in which servers whose addresses others have taken are draining.

        A server takes an address by being listed there anew, or with another start of its process; of those
        in one list the one that started last does, as the order of a list says nothing. Entries for servers
        that are not in the change but have lost their addresses by it are added.
        """
        listed = {server.name: server for server in servers}
        if is_complete:
            for name in [name for name in self._holders if name not in listed]:
                self._drop(name)
        for server in sorted(listed.values(), key=lambda server: server.started_ms):
            self._update(server)
        addresses = {self._holders[name].server.address for name in listed if name in self._holders}
        displaced = {name for address in addresses for name in self._displaced(address)}
        unlisted = [self._holders[name].server for name in sorted(displaced - set(listed))]
        return tuple(
            replace(server, state=api.ServerState.DRAINING) if server.name in displaced else server
            for server in (*listed.values(), *unlisted)
        )

    def _update(self, server: api.Server) -> None:
        if server.state is api.ServerState.GONE or not server.address:
            return self._drop(server.name)
        known = self._holders.get(server.name)
        if known is None or _life_of(known.server) != _life_of(server):
            self._drop(server.name)
            self._last_serial += 1
            known = self._holders[server.name] = _Holder(server, self._last_serial)
            self._names.setdefault(server.address, set()).add(server.name)
        known.server = server

    def _drop(self, name: str) -> None:
        known = self._holders.pop(name, None)
        if known is not None:
            names = self._names[known.server.address]
            names.discard(name)
            if not names:
                del self._names[known.server.address]

    def _displaced(self, address: str) -> set[str]:
        """Returns the servers listed ready at an address but for the one that came last."""
        names = self._names[address]
        latest = max(names, key=lambda name: self._holders[name].serial)
        ready = api.ServerState.READY
        return {name for name in names if name != latest and self._holders[name].server.state is ready}


def _life_of(server: api.Server) -> tuple[str, float]:
    """Returns what tells one life of a server from another: its address and the start of its process."""
    return server.address, server.started_ms
