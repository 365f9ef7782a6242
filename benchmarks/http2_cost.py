"""CPU of a request over HTTP/1.1, h2c and HTTP/2 over TLS, beside a bare relay of the same responses.

    python -m benchmarks.http2_cost [--seconds 4] [--open 16,128,512] [--bytes 16384]

Each is a process of its own in front of three servers that answer after 25 ms; a closed loop keeps so many
requests in flight. The four are measured in turn, twice, so that changes of the machine's load affect all.
CPU is the measured process's alone (user and system, from /proc), as a ratio to the relay's. Linux only.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import httptools
import trustme
import uvloop
from hdrh.histogram import HdrHistogram

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.scripted_servers import ScriptedServer

DELAY_MS = 25.0
SERVER_COUNT = 3
KINDS = ("relay", "http1", "h2c", "tls")
TICK_SECONDS = 1.0 / os.sysconf("SC_CLK_TCK")
ESTABLISHED = "01"  # a connection's state in /proc/net/tcp


@dataclass
class Sample:
    """What was measured of one process at one number of requests in flight.

    Attributes:
        cpu_us: CPU of a request in each stretch, microseconds.
        rss_mb: The highest resident memory, MB.
        connections: The most connections to one server.
        latencies_us: A histogram of latencies, microseconds.
    """

    cpu_us: list[float] = field(default_factory=list)
    rss_mb: float = 0.0
    connections: int = 0
    failed: int = 0
    served: int = 0
    latencies_us: Any = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


class LoadConnection(asyncio.Protocol):
    """One client's connection, with the next request as soon as the response is complete."""

    def __init__(self, stretch: Stretch) -> None:
        self.stretch = stretch
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self.send()

    def send(self) -> None:
        """Sends a request for the next object."""
        self.stretch.sent += 1
        key = f"{(self.stretch.sent * 7919) % 100_003:x}"
        self.started = time.perf_counter()
        self.transport.write(
            f"GET /invoke/lot-page/{key}?nth=0 HTTP/1.1\r\nHost: app.svc\r\nMax-Wait-Ms: 3000\r\n"
            f"Trace-Id: {self.stretch.sent:016x}\r\n\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        """Parses a piece of a response."""
        self.parser.feed_data(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Counts a connection that was lost before the end."""
        self.stretch.lost_connections += not self.stretch.is_over

    def on_message_complete(self) -> None:
        """Counts a response and sends the next request."""
        stretch = self.stretch
        if stretch.is_over:
            return
        if stretch.is_counting:
            is_served = self.parser.get_status_code() == 200
            stretch.sample.served += is_served
            stretch.sample.failed += not is_served
            stretch.sample.latencies_us.record_value(int((time.perf_counter() - self.started) * 1e6))
        self.send()


class Stretch:
    """One measured stretch of time."""

    def __init__(self, sample: Sample) -> None:
        self.sample = sample
        self.sent = self.lost_connections = 0
        self.is_counting = self.is_over = False


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time of a process so far, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK_SECONDS


def rss_mb(pid: int) -> float:
    """Returns the resident memory of a process, MB."""
    (line,) = [x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmRSS")]
    return int(line.split()[1]) / 1024.0


def connections_to(pid: int, ports: set[int]) -> int:
    """Returns the most connections that a process has to one of these ports."""
    inodes = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            link = os.readlink(entry)
            if link.startswith("socket:["):
                inodes.add(link[8:-1])
    counts: Counter[int] = Counter()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        remote, state, inode = fields[2], fields[3], fields[9]
        port = int(remote.split(":")[1], 16)
        if port in ports and inode in inodes and state == ESTABLISHED:
            counts[port] += 1
    return max(counts.values(), default=0)


class Stage:
    """The processes of a benchmark; all of them end with it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: list[subprocess.Popen[str]] = []

    def spawn(
        self, *arguments: str, env: dict[str, str] | None = None, stderr: Any = None
    ) -> subprocess.Popen[str]:
        """Starts this Python with these arguments."""
        process = subprocess.Popen(
            [sys.executable, *arguments], stdout=subprocess.PIPE, stderr=stderr, text=True,
            env={**os.environ, **(env or {})},
        )  # fmt: skip
        self.running.append(process)
        return process

    def start_servers(self, kind: str, size_bytes: int) -> list[str]:
        """Starts the servers (`h1`, `h2` or `tls`) and returns their addresses."""
        addresses = []
        for number in range(SERVER_COUNT):
            process = self.spawn(
                "-m", "benchmarks.box", kind, str(DELAY_MS), str(size_bytes), f"c{number}", str(self.folder)
            )
            assert process.stdout is not None
            addresses.append(process.stdout.readline().strip())
        return addresses

    def start_relay(self, servers: list[str]) -> tuple[int, str]:
        """Starts the relay in front of these servers; returns its process id and address."""
        process = self.spawn("-m", "benchmarks.relay", *servers)
        assert process.stdout is not None
        return process.pid, process.stdout.readline().strip()

    def start_director(self, kind: str, servers: list[str], coordinator: Coordinator) -> tuple[int, str]:
        """Starts a director in front of these servers; returns its process id and address."""
        # Capacities that no load here reaches: admission control is not what is measured.
        peers = [
            ScriptedServer(None, f"c{number}", capacity=10_000.0, address=address)  # type: ignore[arg-type]
            for number, address in enumerate(servers)
        ]
        config = config_for(peers, coordinator, SETTINGS)
        config["limits"] = {"sockets": 4_096}
        path = self.folder / f"{kind}.json"
        path.write_text(json.dumps(config))
        arguments = ["-m", "gladewalk"]
        if kind != "http1":
            options = self.folder / f"{kind}.toml"
            options.write_text(f"[http2]\nmode = '{kind}'\n[tls]\nca = 'ca.pem'\nname = 'box.example'\n")
            arguments += ["run", "--config", str(options)]
        process = self.spawn(*arguments, env={"NODE_CONFIG": str(path)}, stderr=subprocess.PIPE)
        assert process.stderr is not None
        while (line := json.loads(process.stderr.readline()))["event"] != "serving":
            pass
        return process.pid, ":".join(map(str, line["listen"]))

    def close(self) -> None:
        """Ends all processes."""
        for process in self.running:
            process.kill()
            process.wait()


async def measure(
    sample: Sample, pid: int, front: str, ports: set[int], in_flight: int, seconds: float
) -> None:
    """Measures a process for one stretch, with so many requests in flight at its address."""
    stretch = Stretch(sample)
    host, port = front.split(":")
    loop = asyncio.get_running_loop()
    clients = []
    for _ in range(in_flight):
        transport, _ = await loop.create_connection(lambda: LoadConnection(stretch), host, int(port))
        clients.append(transport)
    await asyncio.sleep(0.5)
    cpu_before, served_before = cpu_seconds(pid), sample.served
    stretch.is_counting = True
    for _ in range(4):
        await asyncio.sleep(seconds / 4)
        sample.connections = max(sample.connections, connections_to(pid, ports))
    stretch.is_counting = False
    served = max(1, sample.served - served_before)
    sample.cpu_us.append((cpu_seconds(pid) - cpu_before) / served * 1e6)
    sample.rss_mb = max(sample.rss_mb, rss_mb(pid))
    sample.failed += stretch.lost_connections
    stretch.is_over = True
    for transport in clients:
        transport.close()
    await asyncio.sleep(0.2)


async def measure_all(
    stage: Stage, levels: list[int], seconds: float, size_bytes: int
) -> dict[int, dict[str, Sample]]:
    """Measures each kind at each number of requests in flight."""
    coordinators = {kind: await Coordinator().start() for kind in KINDS}
    fronts: dict[str, tuple[int, str, set[int]]] = {}
    for kind in KINDS:
        servers = stage.start_servers(
            {"relay": "h1", "http1": "h1", "h2c": "h2", "tls": "tls"}[kind], size_bytes
        )
        ports = {int(address.split(":")[1]) for address in servers}
        if kind == "relay":
            pid, address = stage.start_relay(servers)
        else:
            pid, address = await asyncio.to_thread(stage.start_director, kind, servers, coordinators[kind])
        fronts[kind] = (pid, address, ports)
    resident_mb = {kind: round(rss_mb(pid), 1) for kind, (pid, _, _) in fronts.items()}
    print("resident at the start:", resident_mb, "MB")
    samples = {level: {kind: Sample() for kind in KINDS} for level in levels}
    for level in levels:
        for _ in range(2):
            for kind, (pid, front, ports) in fronts.items():
                await measure(samples[level][kind], pid, front, ports, level, seconds)
    return samples


def print_samples(samples: dict[int, dict[str, Sample]]) -> None:
    """Prints a row for each number of requests in flight and each kind."""
    print(
        "open  kind    CPU us/req  of relay  of http1  p50 ms  p99 ms  conns/server  RSS MB  served  failed"
    )
    for level, kinds in samples.items():
        cost_us = {kind: statistics.mean(sample.cpu_us) for kind, sample in kinds.items()}
        for kind, sample in kinds.items():
            p50_ms, p99_ms = (sample.latencies_us.get_value_at_percentile(p) / 1e3 for p in (50, 99))
            of_relay, of_http1 = cost_us[kind] / cost_us["relay"], cost_us[kind] / cost_us["http1"]
            print(
                f"{level:4}  {kind:6}  {cost_us[kind]:10.0f}  {of_relay:8.2f}  {of_http1:8.2f}  "
                f"{p50_ms:6.1f}  {p99_ms:6.1f}  {sample.connections:12}  {sample.rss_mb:6.1f}  "
                f"{sample.served:6}  {sample.failed:6}"
            )


def main() -> int:
    """Runs the benchmark by its command line."""
    parser = argparse.ArgumentParser(description="CPU of a request over each protocol.")
    parser.add_argument("--seconds", type=float, default=4.0, help="of each stretch")
    parser.add_argument("--open", default="16,128,512", help="requests in flight")
    parser.add_argument("--bytes", type=int, default=16_384)
    given = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8_192, hard), hard))
    with tempfile.TemporaryDirectory() as folder:
        authority = trustme.CA()
        authority.cert_pem.write_to_path(str(Path(folder) / "ca.pem"))
        certificate = authority.issue_cert("box.example")
        certificate.private_key_pem.write_to_path(str(Path(folder) / "box.key"))
        certificate.cert_chain_pems[0].write_to_path(str(Path(folder) / "box.pem"))
        stage = Stage(Path(folder))
        try:
            levels = [int(level) for level in given.open.split(",")]
            print_samples(uvloop.run(measure_all(stage, levels, given.seconds, given.bytes)))
        finally:
            stage.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
