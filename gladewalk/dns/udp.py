"""DNS over UDP: a socket that is read a question a turn, and not while its share of time is spent.

The share counts while the HTTP front has had requests open lately. What comes meanwhile waits in the kernel's
buffer, and is dropped there when that is full: a flood then costs the loop nothing.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

from ..config.platform import Address
from .limits import TimeShare
from .responses import Via

if TYPE_CHECKING:
    from .front import DnsFront

DATAGRAM_MOST = 4_096
BUSY_S = 0.25  # how long after a request of the HTTP front the share still counts


class Datagram:
    """One question by UDP."""

    via = Via.UDP

    def __init__(self, sockets: UdpSocket, address: Address) -> None:
        self.socket, self.address, self.peer = sockets, address, address[0]

    def send(self, wire: bytes) -> None:
        self.socket.send(wire, self.address)

    def drop(self) -> None: ...


class UdpSocket:
    def __init__(self, front: DnsFront, address: Address) -> None:
        self.front, self.loop = front, asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        self.share = TimeShare(front.config.loop_share)
        self.closed, self.busy_until = False, 0.0
        self.loop.add_reader(self.socket, self._read)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self.socket)
            self.socket.close()

    def send(self, wire: bytes, address: Address) -> None:
        if self.closed:
            return
        try:
            self.socket.sendto(wire, address)
        except OSError:  # its buffer is full, or the asker has gone: nothing is owed by UDP
            self.front.counters.add("dns.udp_errors")

    def _read(self) -> None:
        began = time.perf_counter()
        try:
            data, address = self.socket.recvfrom(DATAGRAM_MOST)
        except BlockingIOError:
            return
        except OSError:  # an answer that could not be delivered is told here
            return self.front.counters.add("dns.udp_errors")
        self.front.receive(data, Datagram(self, address))
        ended = time.perf_counter()
        rest = self.share.spend((ended - began) * 1_000.0, ended * 1_000.0)
        if self.front.exchange.unanswered_count:
            self.busy_until = ended + BUSY_S
        if rest > 0.0 and ended > self.busy_until:  # nobody else wants the time
            self.share.forgive()
        elif rest > 0.0 and not self.closed:
            self.front.counters.add("dns.rests")
            self.loop.remove_reader(self.socket)
            self.loop.call_later(rest / 1_000.0, self._resume)

    def _resume(self) -> None:
        if not self.closed:
            self.loop.add_reader(self.socket, self._read)
