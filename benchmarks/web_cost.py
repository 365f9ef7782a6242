"""CPU and latency of the HTTP front for imported routing, beside the platform front and a minimal relay.

    python -m benchmarks.web_cost [--seconds 4] [--open 16,128] [--bytes 16384] [--locations 100]

Each runs as a process in front of three servers that respond after 25 ms; they are measured in turn, twice.
CPU is that of the measured process, as a ratio to the platform front's. The routing table has `--locations`
locations, ten of them regexes. Linux only.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import uvloop

from gladewalk.nginx.table import (
    ListenRow,
    LocationRow,
    ProxySettings,
    ServerRow,
    Site,
    UpstreamRow,
    UpstreamServerRow,
    write_site,
)
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for

from .http2_cost import BenchmarkProcesses, Sample, measure

KINDS = ("relay", "platform", "web")
ROUNDS = 2
REGEX_LOCATIONS = 10
MAX_SOCKETS = 4_096
MAX_DESCRIPTORS = 8_192
PERCENTILES = (50, 99)


@dataclass(slots=True, frozen=True)
class Front:
    """One of the three fronts: its process, its address, and the ports of the servers behind it."""

    pid: int
    address: str
    server_ports: set[int]


def build_site(servers: list[str], location_count: int) -> Site:
    """Returns a routing table that proxies all its locations to these servers."""
    rows = [UpstreamServerRow(address=server, defined_at="-") for server in servers]
    proxy = ProxySettings(set_fields=[["Host", "$host"], ["X-Real-IP", "$remote_addr"]])
    locations = [LocationRow(defined_at="-", pattern="/", upstream="u", proxy=proxy)]
    locations += [
        LocationRow(defined_at="-", pattern=f"/s{number}/", upstream="u")
        for number in range(max(0, location_count - REGEX_LOCATIONS - 1))
    ]
    locations += [
        LocationRow(defined_at="-", modifier="~", pattern=rf"^/r{number}/.*\.x$", upstream="u")
        for number in range(REGEX_LOCATIONS)
    ]
    server = ServerRow(defined_at="-", listens=[ListenRow(address="*:80")], locations=locations)
    return Site(upstreams=[UpstreamRow(name="u", defined_at="-", servers=rows)], servers=[server])


def start_http_front(
    processes: BenchmarkProcesses, servers: list[str], coordinator: Coordinator, location_count: int
) -> tuple[int, str]:
    """Starts a director with the HTTP front; returns its process id and address."""
    site = build_site(servers, location_count)
    (processes.folder / "site.toml").write_text(write_site(site))
    (processes.folder / "web.toml").write_text(
        "[front.http]\nsite = 'site.toml'\nlisten = { '127.0.0.1:0' = '*:80' }\n"
        "clients_most = 2000\nupstream_most = 2000\n"
    )
    config = config_for([], coordinator)
    config["limits"] = {"sockets": MAX_SOCKETS}
    (processes.folder / "web.json").write_text(json.dumps(config))
    process = processes.spawn(
        "-m", "gladewalk", "run", "--config", str(processes.folder / "web.toml"),
        env={"NODE_CONFIG": str(processes.folder / "web.json")}, stderr=subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr is not None
    while (line := json.loads(process.stderr.readline()))["event"] != "serving":
        pass
    return process.pid, ":".join(map(str, line["web"][0]))


async def start_front(
    kind: str, processes: BenchmarkProcesses, size_bytes: int, location_count: int
) -> Front:
    """Starts a front of this kind with servers of its own."""
    servers, coordinator = processes.start_servers("h1", size_bytes), await Coordinator().start()
    if kind == "relay":
        pid, address = processes.start_relay(servers)
    elif kind == "platform":
        pid, address = await asyncio.to_thread(processes.start_director, "http1", servers, coordinator)
    else:
        pid, address = await asyncio.to_thread(
            start_http_front, processes, servers, coordinator, location_count
        )
    return Front(pid, address, {int(server.split(":")[1]) for server in servers})


async def compare(
    processes: BenchmarkProcesses, levels: list[int], seconds: float, size_bytes: int, location_count: int
) -> None:
    """Measures all fronts at each level of open requests and prints a line for each."""
    fronts = {kind: await start_front(kind, processes, size_bytes, location_count) for kind in KINDS}
    print("open  kind      CPU us/req  of platform  p50 ms  p99 ms  RSS MB  served  failed")
    for level in levels:
        samples = {kind: Sample() for kind in KINDS}
        for _ in range(ROUNDS):
            for kind, front in fronts.items():
                await measure(samples[kind], front.pid, front.address, front.server_ports, level, seconds)
        print_samples(level, samples)


def print_samples(level: int, samples: dict[str, Sample]) -> None:
    """Prints a line for each front at a level of open requests."""
    cpu_us = {kind: sum(sample.cpu_us) / len(sample.cpu_us) for kind, sample in samples.items()}
    for kind, sample in samples.items():
        p50_ms, p99_ms = (
            sample.latencies_us.get_value_at_percentile(percentile) / 1e3 for percentile in PERCENTILES
        )
        print(
            f"{level:4}  {kind:8}  {cpu_us[kind]:10.0f}  {cpu_us[kind] / cpu_us['platform']:11.2f}  "
            f"{p50_ms:6.1f}  {p99_ms:6.1f}  {sample.rss_mb:6.1f}  {sample.served:6}  {sample.failed:6}",
            flush=True,
        )


def main() -> int:
    """Runs the comparison; returns the exit code."""
    parser = argparse.ArgumentParser(description="What a request costs on each front.")
    parser.add_argument("--seconds", type=float, default=4.0, help="of each stretch")
    parser.add_argument("--open", default="16,128")
    parser.add_argument("--bytes", type=int, default=16_384)
    parser.add_argument("--locations", type=int, default=100)
    options = parser.parse_args()
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(MAX_DESCRIPTORS, hard_limit), hard_limit))
    levels = [int(level) for level in options.open.split(",")]
    with tempfile.TemporaryDirectory() as folder:
        processes = BenchmarkProcesses(Path(folder))
        try:
            uvloop.run(compare(processes, levels, options.seconds, options.bytes, options.locations))
        finally:
            processes.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
