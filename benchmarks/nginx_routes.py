"""What routing costs: tables of 10, 1,000 and 10,000 locations, and the worst regexes against their bound.

    python -m benchmarks.nginx_routes [--seed 1]

Printed are microseconds a request, the median of some thousand drawn URIs: prefixes alone, prefixes with
regexes behind them (all of which a URI that none fits goes through), and regexes made to backtrack, with what
they take under nginx's own limit. Whole requests, from the target's text to the landing.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time

import pcre2

from gladewalk.nginx.errors import MatchLimitError
from gladewalk.nginx.regexes import MAX_MATCH_STEPS, Regex
from gladewalk.nginx.router import Router
from gladewalk.nginx.table import ListenRow, LocationRow, ServerRow, Site, UpstreamRow, UpstreamServerRow
from gladewalk.nginx.uri import parse_target
from gladewalk.nginx.variables import Request

REQUESTS = 3_000
WORST = (
    (r"^/(\w+\s?)+$", "/" + "a" * 40 + "!"),
    (r"^/(a|aa)+(\1)?$", "/" + "a" * 44 + "!"),
    (r"^/(x+x+)+y$", "/" + "x" * 40),
)


def table(prefixes: int, regexes: int, draw: random.Random) -> tuple[Router, list[str]]:
    """A table with so many locations, and URIs that land all over it."""
    names = [f"/s{n % 97}/d{n}/" for n in range(prefixes)]
    places = [LocationRow(defined_at="-", pattern=name, upstream="u") for name in names]
    places += [
        LocationRow(defined_at="-", modifier="~", pattern=rf"^/r{n}/.*\.x$", upstream="u")
        for n in range(regexes)
    ]
    places.append(LocationRow(defined_at="-", pattern="/", upstream="u"))
    upstream = UpstreamRow(
        name="u", defined_at="-", servers=[UpstreamServerRow(address="127.0.0.1:1", defined_at="-")]
    )
    server = ServerRow(defined_at="-", listens=[ListenRow(address="*:80")], locations=places)
    uris = [
        draw.choice(names) + f"a/{draw.randrange(1_000)}.jpg?q={draw.random():.3f}" for _ in range(REQUESTS)
    ]
    return Router(Site(upstreams=[upstream], servers=[server])), uris


def cost(router: Router, uris: list[str]) -> tuple[float, float]:
    """Microseconds a request: the median and the 99th of a hundred."""
    spent = []
    for uri in uris:
        began = time.perf_counter_ns()
        target = parse_target(uri)
        landing = router.route("*:80", Request("GET", target, "example.com"))
        spent.append((time.perf_counter_ns() - began) / 1_000.0)
        assert landing.upstream == "u"
    spent.sort()
    return statistics.median(spent), spent[int(len(spent) * 0.99)]


def worst(pattern: str, text: str) -> tuple[float, str]:
    """Milliseconds until a match is given up, and until it would end without its bound."""
    regex = Regex(pattern)
    began = time.perf_counter()
    try:
        regex.match(text)
        ended = "matched or not"
    except MatchLimitError:
        ended = "given up"
    bounded = (time.perf_counter() - began) * 1_000.0
    free = pcre2.compile(pattern.encode())
    began = time.perf_counter()
    try:
        free.search(text.encode())
        left = f"{(time.perf_counter() - began) * 1_000.0:.0f} ms"
    except pcre2.LibraryError:
        left = f"given up after {(time.perf_counter() - began) * 1_000.0:.0f} ms"
    return bounded, f"{ended} after {bounded:.3f} ms; under nginx's own limit {left}"


def main() -> int:
    parser = argparse.ArgumentParser(description="What routing costs.")
    parser.add_argument("--seed", type=int, default=1)
    draw = random.Random(parser.parse_args().seed)
    print("prefixes  regexes  us a request: median, 99 of 100")
    for prefixes, regexes in ((10, 0), (1_000, 0), (10_000, 0), (10, 10), (10, 100), (10, 1_000)):
        router, uris = table(prefixes, regexes, draw)
        median, most = cost(router, uris)
        print(f"{prefixes:8}  {regexes:7}  {median:7.1f}  {most:7.1f}", flush=True)
    print(f"regexes bounded at {MAX_MATCH_STEPS} steps:")
    for pattern, text in WORST:
        print(f"  {pattern} on {len(text)} signs: {worst(pattern, text)[1]}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
