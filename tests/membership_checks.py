"""Assertions on a simulated network of members that several test files share."""

from gladewalk.members.actions import MemberChange
from gladewalk.rehearsal.member_network import MemberNetwork


def assert_converges(net: MemberNetwork, ms: float = 15_000.0) -> None:
    """Runs the network for this virtual time and asserts that all members agree on which ones are live."""
    net.run(ms)
    assert net.has_converged(), {name: net.live_as_seen_by(name) for name in net.nodes}


def assert_no_deaths(net: MemberNetwork, since_ms: float = 0.0) -> None:
    assert net.changes(MemberChange.DIED, since_ms=since_ms) == []
