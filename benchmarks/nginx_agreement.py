"""The compiled search against a literal reading of nginx's order, on location trees drawn at random.

    python -m benchmarks.nginx_agreement [--count 100000] [--seed 1]

The literal one is the tests' own and shares no code with the router. The first disagreement ends the run with
exit code 1 and tells the tree and the URI.
"""

from __future__ import annotations

import argparse
import random
import sys

from gladewalk.nginx.table import LocationRow, StepRow
from tests.test_nginx import check_agreement

PARTS = ("a", "b", "ab", "A", "a.x", "b.y", "")
REGEXES = (r"\.x$", "a", "^/a", "^/ab/", r"\.(x|y)$", "b/", "A", "^/$", "a.*b", "//")
STEPS = [StepRow(op="return", defined_at="-", status=200, value="x")]


def path(draw: random.Random) -> str:
    return "/" + "/".join(draw.choice(PARTS) for _ in range(draw.randrange(5)))


def tree(draw: random.Random, depth: int, below: str = "/", in_regex: bool = False) -> list[LocationRow]:
    places: list[LocationRow] = []
    seen: set[tuple[str, str]] = set()
    for number in range(draw.randrange(6)):
        kind = draw.choice(("~", "~*") if in_regex else ("", "", "=", "^~", "~", "~*"))
        is_regex = kind.startswith("~")
        pattern = draw.choice(REGEXES) if is_regex else below + path(draw)[1:]
        slot = ("" if kind == "^~" else kind, pattern)
        if not is_regex and slot in seen:
            continue
        seen.add(slot)
        inner = tree(draw, depth - 1, pattern, is_regex) if depth and kind != "=" else []
        at = f"{depth}:{number}:{kind}{pattern}"
        places.append(
            LocationRow(defined_at=at, modifier=kind, pattern=pattern, steps=STEPS, locations=inner)
        )
    return places


def main() -> int:
    parser = argparse.ArgumentParser(description="Two readings of nginx's order of locations.")
    parser.add_argument("--count", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    draw, done, trees = random.Random(given.seed), 0, 0
    while done < given.count:
        places = tree(draw, 2)
        trees += 1
        for _ in range(10):
            uri = path(draw)
            try:
                check_agreement(places, uri)
            except AssertionError as error:
                print(f"after {done} agreements: {error}")
                return 1
            done += 1
    print(f"{done} agreements on {trees} trees, seed {given.seed}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
