"""A director that drops datagrams to other members at random, to test shared tasks on a lossy network.

    python -m benchmarks.lossy_director FRACTION SETTINGS.toml

The director drops this fraction of the datagrams that it sends, so two of them lose it in each direction.
"""

from __future__ import annotations

import random
import sys

from gladewalk.daemon import run
from gladewalk.members.actions import Address
from gladewalk.members.transport import MembershipTransport


def main() -> int:
    """Runs the director; returns its exit code."""
    loss_fraction, rng, send = float(sys.argv[1]), random.Random(), MembershipTransport.send

    def send_lossy(self: MembershipTransport, to: Address, message: bytes) -> None:
        if rng.random() >= loss_fraction:
            send(self, to, message)

    MembershipTransport.send = send_lossy  # type: ignore[method-assign]
    return run(sys.argv[2])


if __name__ == "__main__":
    sys.exit(main())
