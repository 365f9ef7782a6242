"""Load test of the DNS front over UDP, TCP and TLS, and of the HTTP front under a flood of DNS queries.

    python -m benchmarks.dns_load [--seconds 3] [--rounds 3]

Each transport is compared with a bare responder, a process that responds to each query with the same record
without parsing it. Clients are two processes, each with a fixed number of open queries. Then HTTP requests
are sent to a director at a fixed rate, without a flood and while its DNS front gets as many queries as one
process can send, with the budget `all_per_s` and without it; p50 and p99 are printed.
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
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
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
OPEN_QUERIES = 16  # concurrent queries of one client
CLIENTS = 2
DISTINCT_QUERIES = 512  # of one client
RECORD = b"\xc0\x0c\0\1\0\1\0\0\0\2\0\4\x7f\0\0\1"  # A 127.0.0.1 for the name in the question
HTTP_REQUESTS_PER_S = 200.0
QUANTILE = 0.99
TLS_SETTINGS = "tls_listen = '127.0.0.1:0'\ntls_certificate = 'cert.pem'\ntls_key = 'key.pem'\n"


@dataclass(slots=True, frozen=True)
class QueryMode:
    """The transport of queries, and whether they have a DNS cookie."""

    transport: str
    has_cookie: bool = False

    @property
    def label(self) -> str:
        """The name in the table that is printed."""
        return self.transport + (" cookie" if self.has_cookie else "")


QUERY_MODES = (QueryMode("udp"), QueryMode("udp", has_cookie=True), QueryMode("tcp"), QueryMode("tls"))


@dataclass(slots=True, frozen=True)
class Throughput:
    """The throughput and latency that clients measured at one server."""

    answers_per_s: float
    p99_ms: float


@dataclass(slots=True, frozen=True)
class Latencies:
    """The latencies of HTTP requests."""

    p50_ms: float
    p99_ms: float


def make_query(rng: random.Random, has_cookie: bool) -> bytes:
    """Returns a query for one of 65,536 objects at random."""
    name = f"0.{rng.getrandbits(16):x}.lot-page.{ZONE}"
    options: list[dns.edns.Option] = [dns.edns.CookieOption(b"c" * 8, b"")] if has_cookie else []
    edns = 0 if has_cookie else -1
    return dns.message.make_query(name, "A", use_edns=edns, options=options).to_wire()


# The bare responder.


def bare_response(wire: bytes) -> bytes:
    """Returns a query's question with one fixed record."""
    question_end = wire.index(b"\0", 12) + 5
    return wire[:2] + b"\x84\0\0\1\0\1\0\0\0\0" + wire[12:question_end] + RECORD


class BareDatagrams(asyncio.DatagramProtocol):
    """The bare responder over UDP."""

    transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Responds at once."""
        self.transport.sendto(bare_response(data), address)


class BareStream(asyncio.Protocol):
    """The bare responder over TCP and TLS."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self._buffer = bytearray()

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Responds to all complete queries in one write."""
        self._buffer += data
        responses = [bare_response(wire) for wire in take_messages(self._buffer)]
        if responses:
            framed = (len(response).to_bytes(2, "big") + response for response in responses)
            self.transport.write(b"".join(framed))


def take_messages(buffer: bytearray) -> Iterator[bytes]:
    """Removes complete messages from the start of a stream's buffer; yields them without length prefixes."""
    while len(buffer) >= 2 and len(buffer) >= (end := 2 + int.from_bytes(buffer[:2], "big")):
        wire = bytes(buffer[2:end])
        del buffer[:end]
        yield wire


def run_bare_responder(folder: str, ports: Any) -> None:
    """Serves in this process until it ends; puts the port for UDP and TCP and that for TLS into a queue."""
    import uvloop

    async def serve_all() -> None:
        loop = asyncio.get_running_loop()
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(f"{folder}/cert.pem", f"{folder}/key.pem")
        tcp = await loop.create_server(BareStream, "127.0.0.1", 0)
        port = tcp.sockets[0].getsockname()[1]
        await loop.create_datagram_endpoint(BareDatagrams, local_addr=("127.0.0.1", port))
        tls = await loop.create_server(BareStream, "127.0.0.1", 0, ssl=context)
        ports.put((port, tls.sockets[0].getsockname()[1]))
        await asyncio.Event().wait()

    uvloop.run(serve_all())


# Clients.


def connect(transport: str, port: int) -> socket.socket:
    """Connects a socket to a port of this machine over UDP, TCP or TLS."""
    if transport == "udp":
        connection = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        connection.connect(("127.0.0.1", port))
    else:
        connection = socket.create_connection(("127.0.0.1", port))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.settimeout(1.0)
    if transport != "tls":
        return connection
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    return context.wrap_socket(connection)


def receive_ids(transport: str, sock: socket.socket, buffer: bytearray) -> Iterator[int]:
    """Reads once and yields the ids of the complete responses."""
    data = sock.recv(65_535)
    if transport == "udp":
        yield int.from_bytes(data[:2], "big")
        return
    buffer += data
    for wire in take_messages(buffer):
        yield int.from_bytes(wire[:2], "big")


def run_client(mode: QueryMode, port: int, seconds: float, seed: int, results: Any) -> None:
    """Keeps `OPEN_QUERIES` queries open for some time; puts the latencies in ms into a queue."""
    rng = random.Random(seed)
    wires = [make_query(rng, mode.has_cookie) for _ in range(DISTINCT_QUERIES)]
    sock, buffer = connect(mode.transport, port), bytearray()
    sent_at: dict[int, float] = {}
    latencies_ms: list[float] = []
    query_id, ends_at = 0, time.perf_counter() + seconds
    while time.perf_counter() < ends_at:
        while len(sent_at) < OPEN_QUERIES:
            query_id = (query_id + 1) % 65_536
            wire = query_id.to_bytes(2, "big") + wires[query_id % DISTINCT_QUERIES][2:]
            sent_at[query_id] = time.perf_counter()
            sock.sendall(wire if mode.transport == "udp" else len(wire).to_bytes(2, "big") + wire)
        try:
            for response_id in receive_ids(mode.transport, sock, buffer):
                if response_id in sent_at:
                    latencies_ms.append((time.perf_counter() - sent_at.pop(response_id)) * 1e3)
        except TimeoutError:
            sent_at.clear()  # the datagrams were lost
    results.put(latencies_ms)


def measure(mode: QueryMode, port: int, seconds: float) -> Throughput:
    """Runs all clients against one server."""
    results: Any = multiprocessing.Queue()
    clients = [
        multiprocessing.Process(target=run_client, args=(mode, port, seconds, seed, results))
        for seed in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    latencies_ms = sorted(latency_ms for _ in clients for latency_ms in results.get())
    for client in clients:
        client.join()
    return Throughput(len(latencies_ms) / seconds, quantile(latencies_ms, QUANTILE))


def quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile of sorted values."""
    return values[int(len(values) * fraction)]


def flood(port: int, seconds: float) -> None:
    """Sends queries over UDP as fast as one process can, and reads no responses."""
    sock, rng = connect("udp", port), random.Random(3)
    sock.setblocking(False)
    wires = [make_query(rng, has_cookie=False) for _ in range(DISTINCT_QUERIES)]
    sent_count, ends_at = 0, time.perf_counter() + seconds
    while time.perf_counter() < ends_at:
        sent_count += 1
        with contextlib.suppress(OSError):
            sock.send(wires[sent_count % DISTINCT_QUERIES])


async def send_http_requests(director: DirectorProcess, seconds: float) -> Latencies:
    """Sends HTTP requests at a fixed rate without waiting for earlier responses."""
    rng, latencies_ms, started_at = random.Random(4), list[float](), time.monotonic()

    async def send_one() -> None:
        sent_at = time.perf_counter()
        await director.request_object(f"{rng.randrange(64):x}", rng.getrandbits(60))
        latencies_ms.append((time.perf_counter() - sent_at) * 1e3)

    tasks = []
    for number in range(int(seconds * HTTP_REQUESTS_PER_S)):
        await asyncio.sleep(max(0.0, started_at + number / HTTP_REQUESTS_PER_S - time.monotonic()))
        tasks.append(asyncio.create_task(send_one()))
    await asyncio.gather(*tasks)
    latencies_ms.sort()
    return Latencies(latencies_ms[len(latencies_ms) // 2], quantile(latencies_ms, QUANTILE))


# Runs.


@contextlib.asynccontextmanager
async def running_director(folder: Path, dns_settings: str) -> AsyncIterator[DirectorProcess]:
    """Starts a director with a DNS front and three caches, and stops them all at the end."""
    coordinator = await Coordinator().start()
    peers = [
        await ScriptedServer(serve, f"c{number}", capacity=1e6, host=f"127.0.0.{number + 2}").start()
        for number in range(3)
    ]
    director = DirectorProcess(folder, "none")
    (folder / "own.toml").write_text(
        f"[dns]\nlisten = '127.0.0.1:0'\nzone = '{ZONE}'\nown_address = '127.0.0.1'\n"
        f"after_restart = 'none'\n{dns_settings}"
    )
    await director.start(json.loads(json.dumps(config_for(peers, coordinator, SETTINGS))))
    try:
        yield director
    finally:
        await director.kill()
        coordinator.stop()
        for peer in peers:
            peer.stop()


async def measure_modes(folder: Path, seconds: float, rounds: int) -> None:
    """Prints the throughput of each mode and of the bare responder, as the median of all rounds."""
    ports: Any = multiprocessing.Queue()
    responder = multiprocessing.Process(target=run_bare_responder, args=(str(folder), ports), daemon=True)
    responder.start()
    bare_port, bare_tls_port = await asyncio.to_thread(ports.get)
    (folder / "keys").write_text("ab" * 16)
    (folder / "keys").chmod(0o600)
    async with running_director(folder, TLS_SETTINGS + "cookies = 'keys'\n") as director:
        print("way        answers/s   bare/s   ratio    p99 ms  bare p99")
        for mode in QUERY_MODES:
            is_tls = mode.transport == "tls"
            director_port = director.dns_tls[1] if is_tls else director.dns[1]
            bare_responder_port = bare_tls_port if is_tls else bare_port
            own, bare = [], []
            for _ in range(rounds):
                own.append(await asyncio.to_thread(measure, mode, director_port, seconds))
                bare.append(await asyncio.to_thread(measure, mode, bare_responder_port, seconds))
            print(format_mode(mode, median_throughput(own), median_throughput(bare)), flush=True)
        responder.terminate()


def median_throughput(rounds: list[Throughput]) -> Throughput:
    """Returns the medians of all rounds."""
    return Throughput(
        statistics.median(result.answers_per_s for result in rounds),
        statistics.median(result.p99_ms for result in rounds),
    )


def format_mode(mode: QueryMode, own: Throughput, bare: Throughput) -> str:
    """Returns a line of the table."""
    ratio = own.answers_per_s / bare.answers_per_s
    rates = f"{own.answers_per_s:9.0f} {bare.answers_per_s:8.0f}  {ratio:6.3f}"
    return f"{mode.label:10} {rates}  {own.p99_ms:8.2f}  {bare.p99_ms:8.2f}"


async def measure_under_flood(folder: Path, seconds: float, rounds: int) -> None:
    """Prints the latencies of HTTP requests with and without a flood, with and without a query budget."""
    print("HTTP at 200/s     p50 ms    p99 ms   over quiet")
    for label, settings in (("all_per_s = 500", "all_per_s = 500.0\n"), ("no budget", "")):
        quiet, flooded = [], []
        async with running_director(folder, settings) as director:
            for _ in range(rounds):
                quiet.append(await send_http_requests(director, seconds))
                flooded.append(await measure_flooded(director, seconds))
        quiet_p99_ms = statistics.median(latencies.p99_ms for latencies in quiet)
        for state, results in (("quiet", quiet), ("flood", flooded)):
            p50_ms = statistics.median(latencies.p50_ms for latencies in results)
            p99_ms = statistics.median(latencies.p99_ms for latencies in results)
            print(f"{label}, {state}: {p50_ms:7.2f}  {p99_ms:8.2f}  {p99_ms / quiet_p99_ms:9.2f}", flush=True)


async def measure_flooded(director: DirectorProcess, seconds: float) -> Latencies:
    """Sends HTTP requests while a process floods the DNS front."""
    flooder = multiprocessing.Process(target=flood, args=(director.dns[1], seconds + 1.0))
    flooder.start()
    await asyncio.sleep(0.5)
    latencies = await send_http_requests(director, seconds)
    await asyncio.to_thread(flooder.join)
    return latencies


def main() -> int:
    """Runs both measurements; returns the exit code."""
    parser = argparse.ArgumentParser(description="DNS under load.")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        certificate = trustme.CA().issue_cert("dns.example")
        certificate.private_key_pem.write_to_path(str(folder / "key.pem"))
        certificate.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
        asyncio.run(measure_modes(folder, options.seconds, options.rounds))
        asyncio.run(measure_under_flood(folder, options.seconds, options.rounds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
