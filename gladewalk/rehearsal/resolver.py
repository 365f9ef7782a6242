"""A stand-in DNS resolver: queries over UDP, then over TCP if the answer is truncated; caches answers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import NamedTuple

import dns.flags
import dns.message
import dns.rdatatype

from ..config.platform import Address

QUERY_TIMEOUT_S = 20.0
LENGTH_BYTES = 2  # size of the length prefix of a message over TCP (RFC 1035, section 4.2.2)


class CachedAnswer(NamedTuple):
    """Addresses and the time on the monotonic clock at which they expire."""

    expires_at_s: float
    addresses: list[str]


class _AnswerProtocol(asyncio.DatagramProtocol):
    """Sets a future's result to the first datagram received."""

    def __init__(self, answer: asyncio.Future[bytes]) -> None:
        self._answer = answer

    def datagram_received(self, data: bytes, address: object) -> None:
        if not self._answer.done():
            self._answer.set_result(data)


class StubResolver:
    """A stub resolver that queries one name server (RFC 1034, section 5.3.1).

    Args:
        server: The name server's address.
        min_cache_s: The least time for which an answer is cached, even if its TTL is shorter;
            0 always uses the TTL.
        source_host: The address that queries are sent from.
    """

    def __init__(self, server: Address, min_cache_s: float = 0.0, source_host: str = "127.0.0.1") -> None:
        self.server, self._min_cache_s, self._source_host = server, min_cache_s, source_host
        self.cache: dict[tuple[str, str], CachedAnswer] = {}
        self.query_count = 0

    async def resolve(self, name: str, record_type: str = "A") -> list[str]:
        """Returns the addresses of a name, from the cache until they expire."""
        cached = self.cache.get((name, record_type))
        if cached is not None and time.monotonic() < cached.expires_at_s:
            return cached.addresses
        reply = await self.query(dns.message.make_query(name, record_type))
        addresses = [item.to_text() for rrset in reply.answer for item in rrset]
        ttl_s = min((rrset.ttl for rrset in reply.answer), default=0)
        expires_at_s = time.monotonic() + max(ttl_s, self._min_cache_s)
        self.cache[name, record_type] = CachedAnswer(expires_at_s, addresses)
        return addresses

    async def query(
        self, query: dns.message.Message, timeout_s: float = QUERY_TIMEOUT_S
    ) -> dns.message.Message:
        """Sends a query and returns the reply; repeats it over TCP if the reply over UDP is truncated.

        Raises:
            TimeoutError: There is no reply within `timeout_s`.
        """
        self.query_count += 1
        reply = dns.message.from_wire(await self.exchange_udp(query.to_wire(), timeout_s))
        if reply.flags & dns.flags.TC:
            reply = dns.message.from_wire(await self.exchange_tcp(query.to_wire(), timeout_s))
        return reply

    async def exchange_udp(self, wire: bytes, timeout_s: float = QUERY_TIMEOUT_S) -> bytes:
        """Sends one datagram and returns the first datagram received in reply."""
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[bytes] = loop.create_future()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _AnswerProtocol(answer), local_addr=(self._source_host, 0), remote_addr=self.server
        )
        with contextlib.closing(transport):
            transport.sendto(wire)
            return await asyncio.wait_for(answer, timeout_s)

    async def exchange_tcp(self, wire: bytes, timeout_s: float = QUERY_TIMEOUT_S) -> bytes:
        """Sends one message on a new connection and returns the reply."""
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*self.server, local_addr=(self._source_host, 0))
            with contextlib.closing(writer):
                writer.write(len(wire).to_bytes(LENGTH_BYTES, "big") + wire)
                size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
                return await reader.readexactly(size)
