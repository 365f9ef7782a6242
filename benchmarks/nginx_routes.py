"""The cost of routing with 10, 1,000 and 10,000 locations, and of the worst regexes under the match limit.

    python -m benchmarks.nginx_routes [--seed 1]

It prints the microseconds that it takes to route a request from the text of its target to its upstream, as
the median and 99th percentile of some thousand random URIs: with prefixes only, and with prefixes and
regexes, where each URI is compared with all regexes and matches none. Then it prints the cost of regexes
that backtrack excessively, under the router's match limit and under nginx's own limit.
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
LISTEN = "*:80"
TABLE_SIZES = ((10, 0), (1_000, 0), (10_000, 0), (10, 10), (10, 100), (10, 1_000))  # prefixes, regexes
WORST_REGEXES = (
    (r"^/(\w+\s?)+$", "/" + "a" * 40 + "!"),
    (r"^/(a|aa)+(\1)?$", "/" + "a" * 44 + "!"),
    (r"^/(x+x+)+y$", "/" + "x" * 40),
)


def build_table(prefix_count: int, regex_count: int, rng: random.Random) -> tuple[Router, list[str]]:
    """Returns a router with this many locations, and URIs that match random prefixes."""
    prefixes = [f"/s{number % 97}/d{number}/" for number in range(prefix_count)]
    locations = [LocationRow(defined_at="-", pattern=prefix, upstream="u") for prefix in prefixes]
    locations += [
        LocationRow(defined_at="-", modifier="~", pattern=rf"^/r{number}/.*\.x$", upstream="u")
        for number in range(regex_count)
    ]
    locations.append(LocationRow(defined_at="-", pattern="/", upstream="u"))
    upstream = UpstreamRow(
        name="u", defined_at="-", servers=[UpstreamServerRow(address="127.0.0.1:1", defined_at="-")]
    )
    server = ServerRow(defined_at="-", listens=[ListenRow(address=LISTEN)], locations=locations)
    uris = [
        rng.choice(prefixes) + f"a/{rng.randrange(1_000)}.jpg?q={rng.random():.3f}" for _ in range(REQUESTS)
    ]
    return Router(Site(upstreams=[upstream], servers=[server])), uris


def measure_routing_us(router: Router, uris: list[str]) -> tuple[float, float]:
    """Returns the median and the 99th percentile of a request's cost in microseconds."""
    costs_us = []
    for uri in uris:
        started_ns = time.perf_counter_ns()
        destination = router.route(LISTEN, Request("GET", parse_target(uri), "example.com"))
        costs_us.append((time.perf_counter_ns() - started_ns) / 1_000.0)
        assert destination.upstream == "u"
    costs_us.sort()
    return statistics.median(costs_us), costs_us[int(len(costs_us) * 0.99)]


def describe_worst_case(pattern: str, text: str) -> str:
    """Returns how long a match takes under the router's match limit, and under nginx's own limit."""
    regex = Regex(pattern)
    started = time.perf_counter()
    try:
        regex.match(text)
        verdict = "matched or not"
    except MatchLimitError:
        verdict = "given up"
    bounded_ms = (time.perf_counter() - started) * 1_000.0
    unbounded = pcre2.compile(pattern.encode())
    started = time.perf_counter()
    try:
        unbounded.search(text.encode())
        unbounded_verdict = ""
    except pcre2.LibraryError:
        unbounded_verdict = "given up after "
    unbounded_ms = (time.perf_counter() - started) * 1_000.0
    return (
        f"{verdict} after {bounded_ms:.3f} ms; "
        f"under nginx's own limit {unbounded_verdict}{unbounded_ms:.0f} ms"
    )


def main() -> int:
    """Runs all measurements; returns the exit code."""
    parser = argparse.ArgumentParser(description="What routing costs.")
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    print("prefixes  regexes  us a request: median, 99 of 100")
    for prefix_count, regex_count in TABLE_SIZES:
        median_us, p99_us = measure_routing_us(*build_table(prefix_count, regex_count, rng))
        print(f"{prefix_count:8}  {regex_count:7}  {median_us:7.1f}  {p99_us:7.1f}", flush=True)
    print(f"regexes bounded at {MAX_MATCH_STEPS} steps:")
    for pattern, text in WORST_REGEXES:
        print(f"  {pattern} on {len(text)} signs: {describe_worst_case(pattern, text)}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
