"""A director whose datagrams to other members are lost at random: what a bad network makes of shared duties.

    python -m benchmarks.lossy_director PART SETTINGS.toml

The part is lost on the way out, so between two lossy directors each direction loses as much.
"""

from __future__ import annotations

import random
import sys

from gladewalk.daemon import run
from gladewalk.members.actions import Address
from gladewalk.members.transport import MembershipTransport


def main() -> int:
    part, draw, send = float(sys.argv[1]), random.Random(), MembershipTransport.send

    def lossy(self: MembershipTransport, to: Address, message: bytes) -> None:
        if draw.random() >= part:
            send(self, to, message)

    MembershipTransport.send = lossy  # type: ignore[method-assign]
    return run(sys.argv[2])


if __name__ == "__main__":
    sys.exit(main())
