"""What a request costs on the front for imported routing, beside the platform's front and a bare relay.

    python -m benchmarks.web_cost [--seconds 4] [--open 16,128] [--bytes 16384] [--locations 100]

Each is a process of its own in front of three boxes that answer after 25 ms; the three take turns within the
run, twice. CPU is the measured process's alone, as a ratio to the platform's front. The table has so many
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
from gladewalk.rehearsal.peers import Coordinator, config_for

from .http2_cost import Sample, Stage, measure

KINDS = ("relay", "platform", "web")


def table(boxes: list[str], locations: int) -> Site:
    rows = [UpstreamServerRow(address=box, defined_at="-") for box in boxes]
    terms = ProxySettings(set_fields=[["Host", "$host"], ["X-Real-IP", "$remote_addr"]])
    places = [LocationRow(defined_at="-", pattern="/", upstream="u", proxy=terms)]
    places += [
        LocationRow(defined_at="-", pattern=f"/s{n}/", upstream="u") for n in range(max(0, locations - 11))
    ]
    places += [
        LocationRow(defined_at="-", modifier="~", pattern=rf"^/r{n}/.*\.x$", upstream="u") for n in range(10)
    ]
    server = ServerRow(defined_at="-", listens=[ListenRow(address="*:80")], locations=places)
    return Site(upstreams=[UpstreamRow(name="u", defined_at="-", servers=rows)], servers=[server])


def web(stage: Stage, boxes: list[str], coordinator: Coordinator, locations: int) -> tuple[int, str]:
    """A director with the front: its process and where it listens."""
    (stage.folder / "site.toml").write_text(write_site(table(boxes, locations)))
    (stage.folder / "web.toml").write_text(
        "[front.http]\nsite = 'site.toml'\nlisten = { '127.0.0.1:0' = '*:80' }\n"
        "clients_most = 2000\nupstream_most = 2000\n"
    )
    config = config_for([], coordinator)
    config["limits"] = {"sockets": 4_096}
    (stage.folder / "web.json").write_text(json.dumps(config))
    process = stage.spawn(
        "-m", "gladewalk", "run", "--config", str(stage.folder / "web.toml"),
        env={"NODE_CONFIG": str(stage.folder / "web.json")}, stderr=subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr is not None
    while (said := json.loads(process.stderr.readline()))["event"] != "serving":
        pass
    return process.pid, ":".join(map(str, said["web"][0]))


async def play(stage: Stage, levels: list[int], seconds: float, size: int, locations: int) -> None:
    fronts: dict[str, tuple[int, str, set[int]]] = {}
    for kind in KINDS:
        boxes, coordinator = stage.start_servers("h1", size), await Coordinator().start()
        if kind == "relay":
            at = stage.start_relay(boxes)
        elif kind == "platform":
            at = await asyncio.to_thread(stage.start_director, "http1", boxes, coordinator)
        else:
            at = await asyncio.to_thread(web, stage, boxes, coordinator, locations)
        fronts[kind] = (*at, {int(box.split(":")[1]) for box in boxes})
    print("open  kind      CPU us/req  of platform  p50 ms  p99 ms  RSS MB  served  failed")
    for level in levels:
        found = {kind: Sample() for kind in KINDS}
        for _ in range(2):
            for kind, (pid, front, ports) in fronts.items():
                await measure(found[kind], pid, front, ports, level, seconds)
        cost = {kind: sum(s.cpu_us) / len(s.cpu_us) for kind, s in found.items()}
        for kind, s in found.items():
            p50, p99 = (s.latencies_us.get_value_at_percentile(p) / 1e3 for p in (50, 99))
            print(
                f"{level:4}  {kind:8}  {cost[kind]:10.0f}  {cost[kind] / cost['platform']:11.2f}  "
                f"{p50:6.1f}  {p99:6.1f}  {s.rss_mb:6.1f}  {s.served:6}  {s.failed:6}",
                flush=True,
            )


def main() -> int:
    parser = argparse.ArgumentParser(description="What a request costs on each front.")
    parser.add_argument("--seconds", type=float, default=4.0, help="of each stretch")
    parser.add_argument("--open", default="16,128")
    parser.add_argument("--bytes", type=int, default=16_384)
    parser.add_argument("--locations", type=int, default=100)
    given = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8_192, hard), hard))
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(Path(folder))
        try:
            levels = [int(level) for level in given.open.split(",")]
            uvloop.run(play(stage, levels, given.seconds, given.bytes, given.locations))
        finally:
            stage.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
