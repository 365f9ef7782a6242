"""Helpers of checks: the two exceptions that end a check early, and expectations on responses."""

from __future__ import annotations

from collections.abc import Iterable

import dns.message
import dns.rcode
import dns.rdatatype
import dns.rrset

from ...errors import GladewalkError


class CheckFailedError(GladewalkError):
    """The server does not do what the RFC requires; the message describes what was observed."""


class CheckSkippedError(GladewalkError):
    """The server does not offer the optional feature that the case tests."""


def expect(condition: object, observation: str) -> None:
    """Requires a condition.

    Raises:
        CheckFailedError: The condition is false; its message is `observation`.
    """
    if not condition:
        raise CheckFailedError(observation)


def section_types(rrsets: Iterable[dns.rrset.RRset]) -> set[str]:
    """Returns the types of a section's records."""
    return {dns.rdatatype.to_text(rrset.rdtype) for rrset in rrsets}


def expect_negative(response: dns.message.Message, rcode: dns.rcode.Rcode) -> None:
    """Requires a response code, no answer, and an SOA whose TTL is bounded (RFC 2308, section 3).

    Raises:
        CheckFailedError: The response differs.
    """
    expect(response.rcode() == rcode, f"{response.rcode().name}, not {rcode.name}")
    expect(not response.answer, f"records: {section_types(response.answer)}")
    expect(section_types(response.authority) == {"SOA"}, f"authority: {section_types(response.authority)}")
    soa = response.authority[0]
    expect(soa.ttl <= soa[0].minimum, f"the SOA may be kept {soa.ttl} s, its minimum is {soa[0].minimum}")
