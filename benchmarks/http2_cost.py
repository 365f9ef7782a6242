"""What a request costs over HTTP/1.1, h2c and h2 over TLS, beside a bare relay of the same answers.

    python -m benchmarks.http2_cost [--seconds 4] [--open 16,128,512] [--bytes 16384]

Each is a process of its own in front of three boxes that answer after 25 ms; a closed loop holds so many
requests open. The four take turns within the run, twice, so that the machine's drift falls on all. CPU is the
measured process's alone (user and system, from /proc), as a ratio to the relay's. Linux only.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httptools
import trustme
import uvloop
from hdrh.histogram import HdrHistogram

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.scripted_servers import ScriptedServer

DELAY_MS = 25.0
BOXES = 3
KINDS = ("relay", "http1", "h2c", "tls")
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


@dataclass
class Sample:
    cpu_us: list[float] = field(default_factory=list)  # a request
    rss_mb: float = 0.0
    connections: int = 0  # to one box, at the most
    failed: int = 0
    served: int = 0
    waits: Any = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


class Load(asyncio.Protocol):
    """One client's connection, asking again as soon as it has been answered."""

    def __init__(self, run: Run, number: int) -> None:
        self.run, self.number = run, number
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        self.run.asked += 1
        key = f"{(self.run.asked * 7919) % 100_003:x}"
        self.since = time.perf_counter()
        self.transport.write(  # type: ignore[attr-defined]
            f"GET /invoke/lot-page/{key}?nth=0 HTTP/1.1\r\nHost: app.svc\r\nMax-Wait-Ms: 3000\r\n"
            f"Trace-Id: {self.run.asked:016x}\r\n\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.run.lost += not self.run.over

    def on_message_complete(self) -> None:
        if self.run.over:
            return
        if self.run.counting:
            good = self.parser.get_status_code() == 200
            self.run.sample.served += good
            self.run.sample.failed += not good
            self.run.sample.waits.record_value(int((time.perf_counter() - self.since) * 1e6))
        self.ask()


class Run:
    """One measured stretch."""

    def __init__(self, sample: Sample) -> None:
        self.sample = sample
        self.asked = self.lost = 0
        self.counting = self.over = False


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def rss_mb(pid: int) -> float:
    (line,) = [x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmRSS")]
    return int(line.split()[1]) / 1024.0


def connections_to(pid: int, ports: set[int]) -> int:
    """The most connections that a process holds to one of these ports."""
    inodes = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            link = os.readlink(entry)
            if link.startswith("socket:["):
                inodes.add(link[8:-1])
    held: defaultdict[int, int] = defaultdict(int)
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        port = int(words[2].split(":")[1], 16)
        if port in ports and words[9] in inodes and words[3] == "01":
            held[port] += 1
    return max(held.values(), default=0)


class Stage:
    """The processes of a run; all end with it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: list[subprocess.Popen[str]] = []

    def spawn(
        self, *words: str, env: dict[str, str] | None = None, stderr: Any = None
    ) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, *words], stdout=subprocess.PIPE, stderr=stderr, text=True,
            env={**os.environ, **(env or {})},
        )  # fmt: skip
        self.running.append(process)
        return process

    def boxes(self, kind: str, size: int) -> list[str]:
        found = []
        for n in range(BOXES):
            words = ("-m", "benchmarks.box", kind, str(DELAY_MS), str(size), f"c{n}", str(self.folder))
            process = self.spawn(*words)
            assert process.stdout is not None
            found.append(process.stdout.readline().strip())
        return found

    def relay(self, boxes: list[str]) -> tuple[int, str]:
        process = self.spawn("-m", "benchmarks.relay", *boxes)
        assert process.stdout is not None
        return process.pid, process.stdout.readline().strip()

    def director(self, kind: str, boxes: list[str], coordinator: Coordinator) -> tuple[int, str]:
        # Sizes that no load here crowds: what is measured is the way, not the module's guards.
        peers = [
            ScriptedServer(None, f"c{n}", capacity=10_000.0, address=box)  # type: ignore[arg-type]
            for n, box in enumerate(boxes)
        ]
        config = config_for(peers, coordinator, SETTINGS)
        config["limits"] = {"sockets": 4_096}
        path = self.folder / f"{kind}.json"
        path.write_text(json.dumps(config))
        words = ["-m", "gladewalk"]
        if kind != "http1":
            own = self.folder / f"{kind}.toml"
            own.write_text(f"[http2]\nmode = '{kind}'\n[tls]\nca = 'ca.pem'\nname = 'box.example'\n")
            words += ["run", "--config", str(own)]
        process = self.spawn(*words, env={"NODE_CONFIG": str(path)}, stderr=subprocess.PIPE)
        assert process.stderr is not None
        while (said := json.loads(process.stderr.readline()))["event"] != "serving":
            pass
        return process.pid, ":".join(map(str, said["listen"]))

    def end(self) -> None:
        for process in self.running:
            process.kill()
            process.wait()


async def measure(sample: Sample, pid: int, front: str, ports: set[int], open_: int, seconds: float) -> None:
    run = Run(sample)
    host, port = front.split(":")
    loop = asyncio.get_running_loop()
    clients = []
    for n in range(open_):
        transport, _ = await loop.create_connection(lambda n=n: Load(run, n), host, int(port))  # type: ignore[misc]
        clients.append(transport)
    await asyncio.sleep(0.5)
    before, served, run.counting = cpu_s(pid), sample.served, True
    for _ in range(4):
        await asyncio.sleep(seconds / 4)
        sample.connections = max(sample.connections, connections_to(pid, ports))
    run.counting = False
    sample.cpu_us.append((cpu_s(pid) - before) / max(1, sample.served - served) * 1e6)
    sample.rss_mb = max(sample.rss_mb, rss_mb(pid))
    sample.failed += run.lost
    run.over = True
    for transport in clients:
        transport.close()
    await asyncio.sleep(0.2)


async def play(stage: Stage, levels: list[int], seconds: float, size: int) -> dict[int, dict[str, Sample]]:
    coordinators = {kind: await Coordinator().start() for kind in KINDS}
    fronts: dict[str, tuple[int, str, set[int]]] = {}
    for kind in KINDS:
        boxes = stage.boxes({"relay": "h1", "http1": "h1", "h2c": "h2", "tls": "tls"}[kind], size)
        ports = {int(box.split(":")[1]) for box in boxes}
        at = (
            stage.relay(boxes)
            if kind == "relay"
            else await asyncio.to_thread(stage.director, kind, boxes, coordinators[kind])
        )
        fronts[kind] = (*at, ports)
    print("resident at the start:", {kind: round(rss_mb(at[0]), 1) for kind, at in fronts.items()}, "MB")
    found = {level: {kind: Sample() for kind in KINDS} for level in levels}
    for level in levels:
        for _ in range(2):
            for kind, (pid, front, ports) in fronts.items():
                await measure(found[level][kind], pid, front, ports, level, seconds)
    return found


def show(found: dict[int, dict[str, Sample]]) -> None:
    print("open  kind    CPU us/req  of relay  of http1  p50 ms  p99 ms  conns/box  RSS MB  served  failed")
    for level, kinds in found.items():
        cost = {kind: sum(s.cpu_us) / len(s.cpu_us) for kind, s in kinds.items()}
        for kind, s in kinds.items():
            p50, p99 = (s.waits.get_value_at_percentile(p) / 1e3 for p in (50, 99))
            print(
                f"{level:4}  {kind:6}  {cost[kind]:10.0f}  {cost[kind] / cost['relay']:8.2f}  "
                f"{cost[kind] / cost['http1']:8.2f}  {p50:6.1f}  {p99:6.1f}  {s.connections:9}  "
                f"{s.rss_mb:6.1f}  {s.served:6}  {s.failed:6}"
            )


def main() -> int:
    parser = argparse.ArgumentParser(description="What a request costs over each transport.")
    parser.add_argument("--seconds", type=float, default=4.0, help="of each stretch")
    parser.add_argument("--open", default="16,128,512")
    parser.add_argument("--bytes", type=int, default=16_384)
    given = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8_192, hard), hard))
    with tempfile.TemporaryDirectory() as folder:
        place = Path(folder)
        authority = trustme.CA()
        authority.cert_pem.write_to_path(str(place / "ca.pem"))
        box = authority.issue_cert("box.example")
        box.private_key_pem.write_to_path(str(place / "box.key"))
        box.cert_chain_pems[0].write_to_path(str(place / "box.pem"))
        stage = Stage(place)
        try:
            levels = [int(level) for level in given.open.split(",")]
            show(uvloop.run(play(stage, levels, given.seconds, given.bytes)))
        finally:
            stage.end()
    return 0


if __name__ == "__main__":
    sys.exit(main())
