"""CPU of a request over HTTP/1.1, h2c and HTTP/2 over TLS, compared with a minimal relay.

    python -m benchmarks.http2_cost [--seconds 4] [--open 16,128,512] [--bytes 16384]

Each runs as a process in front of three servers that respond after 25 ms. `--open` clients each send one
request after another. The four are measured in turn, twice, so that changes of the machine's load affect all.
CPU is that of the measured process (user and system, from /proc), as a ratio to the relay's. Linux only.
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
    """The measurements of one process at one number of requests in flight.

    Attributes:
        cpu_us: CPU of a request in each measurement period, microseconds.
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
    """One client's connection; it sends the next request as soon as a response is complete."""

    def __init__(self, period: MeasurementPeriod) -> None:
        self.period = period
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self.send()

    def send(self) -> None:
        """Sends a request for the next object."""
        self.period.sent += 1
        key = f"{(self.period.sent * 7919) % 100_003:x}"
        self.started = time.perf_counter()
        self.transport.write(
            f"GET /invoke/lot-page/{key}?nth=0 HTTP/1.1\r\nHost: app.svc\r\nMax-Wait-Ms: 3000\r\n"
            f"Trace-Id: {self.period.sent:016x}\r\n\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        """Parses a piece of a response."""
        self.parser.feed_data(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Counts a connection that was lost before the end."""
        self.period.lost_connections += not self.period.is_over

    def on_message_complete(self) -> None:
        """Counts a response and sends the next request."""
        period = self.period
        if period.is_over:
            return
        if period.is_counting:
            is_served = self.parser.get_status_code() == 200
            period.sample.served += is_served
            period.sample.failed += not is_served
            period.sample.latencies_us.record_value(int((time.perf_counter() - self.started) * 1e6))
        self.send()


class MeasurementPeriod:
    """One period of a measurement; responses count while `is_counting`."""

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
    (line,) = [
        text_line
        for text_line in Path(f"/proc/{pid}/status").read_text().splitlines()
        if text_line.startswith("VmRSS")
    ]
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


class BenchmarkProcesses:
    """The processes of a benchmark; `close` ends all of them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: list[subprocess.Popen[str]] = []

    def spawn(
        self, *arguments: str, env: dict[str, str] | None = None, stderr: Any = None
    ) -> subprocess.Popen[str]:
        """Starts the current Python interpreter with these arguments."""
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
        # No load of this benchmark reaches these capacities, so admission control does not affect the result.
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
    """Measures a process for one period, with `in_flight` concurrent requests to its address `front`."""
    period = MeasurementPeriod(sample)
    host, port = front.split(":")
    loop = asyncio.get_running_loop()
    clients = []
    for _ in range(in_flight):
        transport, _ = await loop.create_connection(lambda: LoadConnection(period), host, int(port))
        clients.append(transport)
    await asyncio.sleep(0.5)
    cpu_before, served_before = cpu_seconds(pid), sample.served
    period.is_counting = True
    for _ in range(4):
        await asyncio.sleep(seconds / 4)
        sample.connections = max(sample.connections, connections_to(pid, ports))
    period.is_counting = False
    served = max(1, sample.served - served_before)
    sample.cpu_us.append((cpu_seconds(pid) - cpu_before) / served * 1e6)
    sample.rss_mb = max(sample.rss_mb, rss_mb(pid))
    sample.failed += period.lost_connections
    period.is_over = True
    for transport in clients:
        transport.close()
    await asyncio.sleep(0.2)


async def measure_all(
    processes: BenchmarkProcesses, levels: list[int], seconds: float, size_bytes: int
) -> dict[int, dict[str, Sample]]:
    """Measures each kind at each number of requests in flight."""
    coordinators = {kind: await Coordinator().start() for kind in KINDS}
    fronts: dict[str, tuple[int, str, set[int]]] = {}
    for kind in KINDS:
        servers = processes.start_servers(
            {"relay": "h1", "http1": "h1", "h2c": "h2", "tls": "tls"}[kind], size_bytes
        )
        ports = {int(address.split(":")[1]) for address in servers}
        if kind == "relay":
            pid, address = processes.start_relay(servers)
        else:
            pid, address = await asyncio.to_thread(
                processes.start_director, kind, servers, coordinators[kind]
            )
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
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="CPU of a request over each protocol.")
    parser.add_argument("--seconds", type=float, default=4.0, help="of each stretch")
    parser.add_argument("--open", default="16,128,512", help="requests in flight")
    parser.add_argument("--bytes", type=int, default=16_384)
    cli_options = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8_192, hard), hard))
    with tempfile.TemporaryDirectory() as folder:
        authority = trustme.CA()
        authority.cert_pem.write_to_path(str(Path(folder) / "ca.pem"))
        certificate = authority.issue_cert("box.example")
        certificate.private_key_pem.write_to_path(str(Path(folder) / "box.key"))
        certificate.cert_chain_pems[0].write_to_path(str(Path(folder) / "box.pem"))
        processes = BenchmarkProcesses(Path(folder))
        try:
            levels = [int(level) for level in cli_options.open.split(",")]
            print_samples(uvloop.run(measure_all(processes, levels, cli_options.seconds, cli_options.bytes)))
        finally:
            processes.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
