"""A stand-in resolver: asks by UDP, then TCP when an answer is cut; holds answers as long as it likes."""

from __future__ import annotations

import asyncio
import time

import dns.flags
import dns.message
import dns.rdatatype

from ..config.platform import Address


class Resolver:
    """`hold_s` is the least time for which an answer is kept, whatever its TTL says: 0 keeps to the TTL."""

    def __init__(self, front: Address, hold_s: float = 0.0, source: str = "127.0.0.1") -> None:
        self.front, self.hold_s, self.source = front, hold_s, source
        self.held: dict[tuple[str, str], tuple[float, list[str]]] = {}
        self.asked = 0

    async def resolve(self, name: str, kind: str = "A") -> list[str]:
        """The addresses, out of what is held where that has not run out."""
        until, addresses = self.held.get((name, kind), (0.0, []))
        if time.monotonic() < until:
            return addresses
        reply = await self.query(dns.message.make_query(name, kind))
        addresses = [item.to_text() for rrset in reply.answer for item in rrset]
        ttl = min((rrset.ttl for rrset in reply.answer), default=0)
        self.held[name, kind] = (time.monotonic() + max(ttl, self.hold_s), addresses)
        return addresses

    async def query(self, query: dns.message.Message, timeout_s: float = 20.0) -> dns.message.Message:
        self.asked += 1
        reply = dns.message.from_wire(await self.exchange_udp(query.to_wire(), timeout_s))
        if reply.flags & dns.flags.TC:
            reply = dns.message.from_wire(await self.exchange_tcp(query.to_wire(), timeout_s))
        return reply

    async def exchange_udp(self, wire: bytes, timeout_s: float = 20.0) -> bytes:
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        class Socket(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address: object) -> None:
                if not answer.done():
                    answer.set_result(data)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Socket, local_addr=(self.source, 0), remote_addr=self.front
        )
        try:
            transport.sendto(wire)
            return await asyncio.wait_for(answer, timeout_s)
        finally:
            transport.close()

    async def exchange_tcp(self, wire: bytes, timeout_s: float = 20.0) -> bytes:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*self.front, local_addr=(self.source, 0))
            try:
                writer.write(len(wire).to_bytes(2, "big") + wire)
                return await reader.readexactly(int.from_bytes(await reader.readexactly(2), "big"))
            finally:
                writer.close()
