"""Checks of a simulated network of members that several tests share."""

from gladewalk.members.actions import MemberChange
from gladewalk.rehearsal.member_network import MemberNetwork


def settle(net: MemberNetwork, ms: float = 15_000.0) -> None:
    """Lets so much virtual time pass; then all members agree on who is live."""
    net.run(ms)
    assert net.has_converged(), {name: net.live_as_seen_by(name) for name in net.nodes}


def assert_no_deaths(net: MemberNetwork, since_ms: float = 0.0) -> None:
    assert net.changes(MemberChange.DIED, since_ms=since_ms) == []
