"""Compares the compiled location search with a literal search in nginx's order, on random location trees.

    python -m benchmarks.nginx_agreement [--count 100000] [--seed 1]

The literal search belongs to the tests and shares no code with the router. The first disagreement ends the
run with exit code 1 and prints the tree and the URI.
"""

from __future__ import annotations

import argparse
import random
import sys

from gladewalk.nginx.table import LocationRow, StepRow
from tests.test_nginx import check_agreement

SEGMENTS = ("a", "b", "ab", "A", "a.x", "b.y", "")
REGEXES = (r"\.x$", "a", "^/a", "^/ab/", r"\.(x|y)$", "b/", "A", "^/$", "a.*b", "//")
PREFIX_MODIFIERS = ("", "", "=", "^~", "~", "~*")  # a plain prefix appears twice, as it is the most frequent
REGEX_MODIFIERS = ("~", "~*")
STEPS = [StepRow(op="return", defined_at="-", status=200, value="x")]
MAX_SEGMENTS = 4
MAX_SIBLINGS = 5
TREE_DEPTH = 2
URIS_PER_TREE = 10


def draw_path(rng: random.Random) -> str:
    """Returns a random path."""
    return "/" + "/".join(rng.choice(SEGMENTS) for _ in range(rng.randrange(MAX_SEGMENTS + 1)))


def draw_tree(rng: random.Random, depth: int, below: str = "/", in_regex: bool = False) -> list[LocationRow]:
    """Returns random locations of one level with up to `depth` levels nested in them.

    Args:
        rng: The source of randomness.
        depth: Levels that may be nested.
        below: The prefix of all patterns that are no regexes.
        in_regex: Whether they are nested in a regex location, which may contain only regexes.
    """
    rows: list[LocationRow] = []
    seen: set[tuple[str, str]] = set()
    for number in range(rng.randrange(MAX_SIBLINGS + 1)):
        modifier = rng.choice(REGEX_MODIFIERS if in_regex else PREFIX_MODIFIERS)
        is_regex = modifier in REGEX_MODIFIERS
        pattern = rng.choice(REGEXES) if is_regex else below + draw_path(rng)[1:]
        identity = ("" if modifier == "^~" else modifier, pattern)
        if not is_regex and identity in seen:
            continue
        seen.add(identity)
        nested = draw_tree(rng, depth - 1, pattern, is_regex) if depth and modifier != "=" else []
        rows.append(
            LocationRow(
                defined_at=f"{depth}:{number}:{modifier}{pattern}",
                modifier=modifier,
                pattern=pattern,
                steps=STEPS,
                locations=nested,
            )
        )
    return rows


def main() -> int:
    """Runs the comparison; returns the exit code."""
    parser = argparse.ArgumentParser(description="Two readings of nginx's order of locations.")
    parser.add_argument("--count", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rng, agreements, trees = random.Random(options.seed), 0, 0
    while agreements < options.count:
        rows = draw_tree(rng, TREE_DEPTH)
        trees += 1
        for _ in range(URIS_PER_TREE):
            uri = draw_path(rng)
            try:
                check_agreement(rows, uri)
            except AssertionError as error:
                print(f"after {agreements} agreements: {error}")
                return 1
            agreements += 1
    print(f"{agreements} agreements on {trees} trees, seed {options.seed}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
