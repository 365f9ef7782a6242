"""Questions a second of one director by UDP, TCP and TLS, and its HTTP front under a flood of DNS.

    python -m benchmarks.dns_load [--seconds 3] [--rounds 3]

Each way beside a bare responder, a process of its own that sends back each question with one fixed record
behind it and looks at nothing. Clients are two processes that keep some questions open each. Then HTTP
requests at a fixed rate to the same director, without a flood and under one of as many questions as one
process can send, with the budget `all_per_s` set and without: p50 and p99, in turn.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import random
import socket
import ssl
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import dns.edns
import dns.message
import trustme

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .director_process import DirectorProcess
from .store_served import serve

ZONE = "cdn.example."
OPEN = 16  # questions of one client at a time
CLIENTS = 2
FIXED = b"\xc0\x0c\0\1\0\1\0\0\0\2\0\4\x7f\0\0\1"  # A 127.0.0.1 for the name that was asked for


def question(draw: random.Random, cookie: bool) -> bytes:
    name = f"0.{draw.getrandbits(16):x}.lot-page.{ZONE}"
    options: list[dns.edns.Option] = [dns.edns.CookieOption(b"c" * 8, b"")] if cookie else []
    return dns.message.make_query(name, "A", use_edns=0 if cookie else -1, options=options).to_wire()


def answer(wire: bytes) -> bytes:
    """The bare responder's: the question with one record behind it."""
    end = wire.index(b"\0", 12) + 5
    return wire[:2] + b"\x84\0\0\1\0\1\0\0\0\0" + wire[12:end] + FIXED


class BareDatagrams(asyncio.DatagramProtocol):
    transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.transport.sendto(answer(data), address)


class BareStream(asyncio.Protocol):
    rest = b""
    transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.rest += data
        out = b""
        while len(self.rest) >= 2 and len(self.rest) >= (end := 2 + int.from_bytes(self.rest[:2], "big")):
            reply = answer(self.rest[2:end])
            out, self.rest = out + len(reply).to_bytes(2, "big") + reply, self.rest[end:]
        if out:
            self.transport.write(out)


def bare(folder: str, ready: Any) -> None:
    import uvloop

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(f"{folder}/cert.pem", f"{folder}/key.pem")
        tcp = await loop.create_server(BareStream, "127.0.0.1", 0)
        port = tcp.sockets[0].getsockname()[1]
        await loop.create_datagram_endpoint(BareDatagrams, local_addr=("127.0.0.1", port))
        tls = await loop.create_server(BareStream, "127.0.0.1", 0, ssl=context)
        ready.put((port, tls.sockets[0].getsockname()[1]))
        await asyncio.Event().wait()

    uvloop.run(serve())


def connect(way: str, port: int) -> socket.socket:
    if way == "udp":
        plain = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        plain.connect(("127.0.0.1", port))
    else:
        plain = socket.create_connection(("127.0.0.1", port))
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    plain.settimeout(1.0)
    if way != "tls":
        return plain
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    return context.wrap_socket(plain)


def receive(way: str, sock: socket.socket, rest: bytearray) -> Iterator[int]:
    """The ids of the answers that came."""
    data = sock.recv(65_535)
    if way == "udp":
        yield int.from_bytes(data[:2], "big")
        return
    rest += data
    while len(rest) >= 2 and len(rest) >= (end := 2 + int.from_bytes(rest[:2], "big")):
        yield int.from_bytes(rest[2:4], "big")
        del rest[:end]


def client(way: str, port: int, seconds: float, seed: int, cookie: bool, told: Any) -> None:
    """Some questions open at a time, each answer followed by the next question."""
    draw = random.Random(seed)
    wires = [question(draw, cookie) for _ in range(512)]
    sock, rest, sent, waits = connect(way, port), bytearray(), dict[int, float](), list[float]()
    number, until = 0, time.perf_counter() + seconds
    while time.perf_counter() < until:
        while len(sent) < OPEN:
            number = (number + 1) % 65_536
            wire = number.to_bytes(2, "big") + wires[number % 512][2:]
            sent[number] = time.perf_counter()
            sock.sendall(wire if way == "udp" else len(wire).to_bytes(2, "big") + wire)
        try:
            for known in receive(way, sock, rest):
                if known in sent:
                    waits.append((time.perf_counter() - sent.pop(known)) * 1e3)
        except TimeoutError:
            sent.clear()  # lost
    told.put(waits)


def measure(way: str, port: int, seconds: float, cookie: bool) -> tuple[float, float]:
    """Answers a second, and their p99 in ms."""
    told: Any = multiprocessing.Queue()
    clients = [
        multiprocessing.Process(target=client, args=(way, port, seconds, n, cookie, told))
        for n in range(CLIENTS)
    ]
    for one in clients:
        one.start()
    waits = sorted(wait for _ in clients for wait in told.get())
    for one in clients:
        one.join()
    return len(waits) / seconds, waits[int(len(waits) * 0.99)]


def flood(port: int, seconds: float) -> None:
    sock, draw = connect("udp", port), random.Random(3)
    sock.setblocking(False)
    wires, until, n = [question(draw, False) for _ in range(512)], time.perf_counter() + seconds, 0
    while time.perf_counter() < until:
        n += 1
        with contextlib.suppress(OSError):
            sock.send(wires[n % 512])


async def http(run: DirectorProcess, seconds: float, rate: float) -> list[float]:
    draw, waits, begun = random.Random(4), list[float](), time.monotonic()

    async def one() -> None:
        began = time.perf_counter()
        await run.request_object(f"{draw.randrange(64):x}", draw.getrandbits(60))
        waits.append((time.perf_counter() - began) * 1e3)

    tasks = []
    for n in range(int(seconds * rate)):
        await asyncio.sleep(max(0.0, begun + n / rate - time.monotonic()))
        tasks.append(asyncio.create_task(one()))
    await asyncio.gather(*tasks)
    return sorted(waits)


async def with_director(folder: Path, more: str) -> tuple[DirectorProcess, list[ScriptedServer], Coordinator]:
    coordinator = await Coordinator().start()
    peers = [
        await ScriptedServer(serve, f"c{n}", capacity=1e6, host=f"127.0.0.{n + 2}").start() for n in range(3)
    ]
    run = DirectorProcess(folder, "none")
    (folder / "own.toml").write_text(
        f"[dns]\nlisten = '127.0.0.1:0'\nzone = '{ZONE}'\nown_address = '127.0.0.1'\n"
        f"after_restart = 'none'\n{more}"
    )
    await run.start(json.loads(json.dumps(config_for(peers, coordinator, SETTINGS))))
    return run, peers, coordinator


async def ways(folder: Path, seconds: float, rounds: int) -> None:
    ready: Any = multiprocessing.Queue()
    responder = multiprocessing.Process(target=bare, args=(str(folder), ready), daemon=True)
    responder.start()
    plain, secure = await asyncio.to_thread(ready.get)
    (folder / "keys").write_text("ab" * 16)
    (folder / "keys").chmod(0o600)
    tls = "tls_listen = '127.0.0.1:0'\ntls_certificate = 'cert.pem'\ntls_key = 'key.pem'\ncookies = 'keys'\n"
    run, peers, coordinator = await with_director(folder, tls)
    print("way        answers/s   bare/s   ratio    p99 ms  bare p99")
    for way, cookie in (("udp", False), ("udp", True), ("tcp", False), ("tls", False)):
        mine, others = [], []
        for _ in range(rounds):
            port = run.dns_tls[1] if way == "tls" else run.dns[1]
            mine.append(await asyncio.to_thread(measure, way, port, seconds, cookie))
            port = secure if way == "tls" else plain
            others.append(await asyncio.to_thread(measure, way, port, seconds, cookie))
        (rate, p99), (bare_rate, bare_p99) = (
            [statistics.median(row[n] for row in rows) for n in (0, 1)] for rows in (mine, others)
        )
        label = way + (" cookie" if cookie else "")
        ratio = rate / bare_rate
        print(
            f"{label:10} {rate:9.0f} {bare_rate:8.0f}  {ratio:6.3f}  {p99:8.2f}  {bare_p99:8.2f}", flush=True
        )
    responder.terminate()
    await run.kill()
    coordinator.stop()
    for peer in peers:
        peer.stop()


async def under_flood(folder: Path, seconds: float, rounds: int) -> None:
    print("HTTP at 200/s     p50 ms    p99 ms   over quiet")
    for label, more in (("all_per_s = 500", "all_per_s = 500.0\n"), ("no budget", "")):
        run, peers, coordinator = await with_director(folder, more)
        rows: dict[bool, list[tuple[float, float]]] = {False: [], True: []}
        for _ in range(rounds):
            for flooded in (False, True):
                storm = multiprocessing.Process(target=flood, args=(run.dns[1], seconds + 1.0))
                if flooded:
                    storm.start()
                    await asyncio.sleep(0.5)
                waits = await http(run, seconds, 200.0)
                rows[flooded].append((waits[len(waits) // 2], waits[int(len(waits) * 0.99)]))
                if flooded:
                    await asyncio.to_thread(storm.join)
        quiet = statistics.median(row[1] for row in rows[False])
        for flooded in (False, True):
            p50, p99 = (statistics.median(row[n] for row in rows[flooded]) for n in (0, 1))
            print(
                f"{label}, {'flood' if flooded else 'quiet'}: {p50:7.2f}  {p99:8.2f}  {p99 / quiet:9.2f}",
                flush=True,
            )
        await run.kill()
        coordinator.stop()
        for peer in peers:
            peer.stop()


def main() -> int:
    parser = argparse.ArgumentParser(description="DNS under load.")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        certificate = trustme.CA().issue_cert("dns.example")
        certificate.private_key_pem.write_to_path(str(folder / "key.pem"))
        certificate.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
        asyncio.run(ways(folder, given.seconds, given.rounds))
        asyncio.run(under_flood(folder, given.seconds, given.rounds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
