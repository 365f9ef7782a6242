"""Latency by object size, CPU and memory of a request through one director.

    python -m benchmarks.response_latency [--tree FOLDER ...] [--requests 1500] [--open 8]

Each tree is a checkout whose `gladewalk` is run as a process; the trees are measured in turn, twice. A
stand-in cache writes each object in pieces of 16 KB. `--open` clients each send one request after another.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

SIZES = (1_000, 16_000, 64_000, 240_000)
PIECE_BYTES = 16_000
ROUNDS = 2
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


async def serve(request: ReceivedRequest) -> None:
    """Responds with as many bytes as the request's part number."""
    size = int(request.path.rsplit("/", 1)[1])
    request.writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\nTag: a\r\n\r\n".encode())
    for start in range(0, size, PIECE_BYTES):
        request.writer.write(bytes(min(PIECE_BYTES, size - start)))
        await request.writer.drain()


async def send_requests(
    address: tuple[str, int], client: int, size: int, count: int, latencies_us: HdrHistogram
) -> None:
    """Sends requests one after another on one connection."""
    reader, writer = await asyncio.open_connection(*address, limit=1_000_000)
    for number in range(count):
        began_s = time.perf_counter()
        trace_id = f"{client:08x}{number:08x}"
        writer.write(encode_request(f"/invoke/lot-video/{number % 50:x}?nth={size}", trace=trace_id))
        message = await read_message(reader)
        if message.status != 200 or len(message.body) != size:
            raise RuntimeError(f"{message.start_line}: {len(message.body)} bytes of {size}")
        latencies_us.record_value(int(1e6 * (time.perf_counter() - began_s)))
    writer.close()


def cpu_s(pid: int) -> float:
    """Returns the CPU time of a process, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def peak_mb(pid: int) -> float:
    """Returns the highest resident memory of a process."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(text.split("VmHWM:")[1].split()[0]) / 1000.0


async def measure_sizes(
    process: asyncio.subprocess.Process, name: str, requests: int, open_requests: int
) -> None:
    """Measures each size through a running director, and prints a line for each."""
    assert process.stderr is not None
    address = tuple(json.loads(await process.stderr.readline())["listen"])
    for size in SIZES:
        latencies_us, before_s = HdrHistogram(1, 60_000_000, 3), cpu_s(process.pid)
        count = requests // open_requests
        clients = (
            send_requests(address, client, size, count, latencies_us) for client in range(open_requests)
        )
        await asyncio.gather(*clients)
        cpu_us = 1e6 * (cpu_s(process.pid) - before_s) / (count * open_requests)
        p50, p99 = (latencies_us.get_value_at_percentile(percentile) / 1000.0 for percentile in (50, 99))
        memory = peak_mb(process.pid)
        latency = f"p50 {p50:6.2f} ms  p99 {p99:6.2f} ms"
        print(f"{name:8} {size:7} bytes  {latency}  CPU {cpu_us:5.0f} us  peak {memory:5.1f} MB")


async def measure(tree: Path, requests: int, open_requests: int) -> None:
    """Starts a tree's director and measures it."""
    coordinator, cache = await Coordinator().start(), await ScriptedServer(serve).start()
    with tempfile.TemporaryDirectory() as folder:
        config_file = Path(folder, "director.json")
        config_file.write_text(json.dumps(config_for([cache], coordinator)), encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gladewalk", cwd=tree, stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(config_file)},
        )  # fmt: skip
        try:
            await measure_sizes(process, tree.name, requests, open_requests)
        finally:
            process.kill()
            await process.wait()
    coordinator.stop()
    cache.stop()


def main() -> None:
    """Measures the trees of the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.response_latency")
    parser.add_argument("--tree", type=Path, action="append")
    parser.add_argument("--requests", type=int, default=1_500)
    parser.add_argument("--open", type=int, default=8)
    options = parser.parse_args()
    for _ in range(ROUNDS):
        for tree in options.tree or [Path.cwd()]:
            asyncio.run(measure(tree, options.requests, options.open))


if __name__ == "__main__":
    main()
