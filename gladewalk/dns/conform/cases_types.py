"""Record types: absent ones, ANY, transfers, addresses and services."""

from __future__ import annotations

from functools import partial

import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
from dns.rdtypes.svcbbase import ParamKey

from .checks import CheckFailedError, CheckSkippedError, expect, expect_negative, section_types
from .registry import CaseRegistry
from .target import Target

CASES = CaseRegistry()

MAX_ROUTED_TTL_S = 60


# Types.


def check_absent_type(rdtype: str, target: Target) -> None:
    """Requires NODATA for a type that routed names do not have."""
    expect_negative(target.lookup(target.routed_name, rdtype), dns.rcode.NOERROR)


for absent_type in ("TXT", "MX", "PTR", "CNAME", "NS", "SOA", "CAA", "NAPTR", "DS", "NSEC", "TYPE65280"):
    CASES.add(
        f"nodata-type-{absent_type.lower()}",
        2308,
        "2.2",
        f"a routed name has no {absent_type}: NODATA with the SOA",
        partial(check_absent_type, absent_type),
    )


@CASES.case(8482, "4")
def any_is_small(target: Target) -> None:
    """ANY is answered by no more than one set."""
    response = target.lookup(target.zone, "ANY")
    expect(len(response.answer) == 1, f"{len(response.answer)} sets")


@CASES.case(8482, "4.2")
def any_routed(target: Target) -> None:
    """ANY of a routed name gives no address away."""
    response = target.lookup(target.routed_name, "ANY")
    expect(response.rcode() == dns.rcode.NOERROR and len(response.answer) == 1, "no single set")
    expect(section_types(response.answer) <= {"HINFO", "A", "AAAA"}, str(section_types(response.answer)))


@CASES.case(8482, "4")
def any_nxdomain(target: Target) -> None:
    """ANY does not make a name exist."""
    expect_negative(target.lookup(target.below("no-such-name"), "ANY"), dns.rcode.NXDOMAIN)


@CASES.case(8020, "2")
def any_empty(target: Target) -> None:
    """ANY of an empty name is NODATA."""
    expect_negative(target.lookup(target.below(target.class_name), "ANY"), dns.rcode.NOERROR)


def check_transfer_refused(rdtype: str, target: Target) -> None:
    """Requires a zone transfer to be refused; AXFR is queried by TCP (RFC 5936, section 4.1)."""
    query = target.build_query(target.zone, rdtype)
    response = target.exchange_tcp(query)[0] if rdtype == "AXFR" else target.send_query(query)
    expect(response.rcode() in (dns.rcode.REFUSED, dns.rcode.NOTIMP), f"{response.rcode().name}")
    expect(not response.answer, "records of the zone")


CASES.add("axfr", 5936, "2.2.1", "a transfer is refused", partial(check_transfer_refused, "AXFR"))
CASES.add("ixfr", 1995, "2", "an incremental transfer is refused", partial(check_transfer_refused, "IXFR"))


# Addresses.


def lookup_address(target: Target) -> tuple[str, dns.message.Message]:
    """Returns the address type that the routed name has, and the response to a query for it.

    Raises:
        CheckFailedError: The name has no address.
    """
    for rdtype in ("A", "AAAA"):
        response = target.lookup(target.routed_name, rdtype)
        if response.answer:
            return rdtype, response
    raise CheckFailedError("the routed name has no address at all")


@CASES.case(1035, "3.4.1")
def routed_address(target: Target) -> None:
    """A routed name has an address, its owner the name as it was asked for."""
    _, response = lookup_address(target)
    expect(response.answer[0].name.labels == target.routed_name.labels, str(response.answer[0].name))


@CASES.case(1035, "3.2.1")
def routed_ttl(target: Target) -> None:
    """What the core decides is kept for a short time alone."""
    _, response = lookup_address(target)
    expect(response.answer[0].ttl <= MAX_ROUTED_TTL_S, f"{response.answer[0].ttl} s")


@CASES.case(4343, "3")
def routed_case(target: Target) -> None:
    """Letters' case is no difference."""
    rdtype, response = lookup_address(target)
    upper = target.lookup(dns.name.from_text(target.routed_name.to_text().upper()), rdtype)
    expect(section_types(upper.answer) == section_types(response.answer), "another answer in upper case")


@CASES.case(4074, "3")
def routed_other_family(target: Target) -> None:
    """The family that it has no address of is NODATA, neither NXDOMAIN nor an error."""
    rdtype, _ = lookup_address(target)
    response = target.lookup(target.routed_name, "A" if rdtype == "AAAA" else "AAAA")
    if response.answer:
        raise CheckSkippedError("it has both")
    expect_negative(response, dns.rcode.NOERROR)


@CASES.case(2181, "5.2")
def one_ttl_a_set(target: Target) -> None:
    """All records of a set have one time to live."""
    raw = target.parse_response(target.exchange_udp(target.build_query(target.zone, "NS").to_wire()))
    expect(len({rrset.ttl for rrset in raw.answer}) == 1, "several")


# Services.


def lookup_service(target: Target) -> dns.message.Message:
    """Returns the response with the SRV records of the routed name.

    Raises:
        CheckFailedError: The response has no SRV records.
    """
    response = target.lookup(target.service_name, "SRV")
    expect(
        section_types(response.answer) == {"SRV"},
        f"{response.rcode().name}, {section_types(response.answer)}",
    )
    return response


@CASES.case(2782, "")
def srv_port(target: Target) -> None:
    """The SRV name of a routed name tells a port."""
    expect(all(0 < rdata.port < 65_536 for rdata in lookup_service(target).answer[0]), "port 0")


@CASES.case(2782, "")
def srv_target(target: Target) -> None:
    """An SRV's target has an address record, and it comes along."""
    response = lookup_service(target)
    additional_by_name = {rrset.name: rrset for rrset in response.additional}
    for rdata in response.answer[0]:
        expect(rdata.target in additional_by_name, f"{rdata.target} has no address in the answer")
        rdtype = dns.rdatatype.to_text(additional_by_name[rdata.target].rdtype)
        direct_response = target.lookup(rdata.target, rdtype)
        expect(section_types(direct_response.answer) == {rdtype}, f"{rdata.target} asked for itself has none")


@CASES.case(2782, "")
def srv_name_has_no_address(target: Target) -> None:
    """The SRV name itself has no address: NODATA."""
    expect_negative(target.lookup(target.service_name, "A"), dns.rcode.NOERROR)


@CASES.case(2782, "")
def srv_at_the_name(target: Target) -> None:
    """SRV of the name without its service is NODATA."""
    expect_negative(target.lookup(target.routed_name, "SRV"), dns.rcode.NOERROR)


@CASES.case(2782, "")
def srv_other_service(target: Target) -> None:
    """A service that is not offered is not there."""
    name = dns.name.Name((b"_smtp", b"_tcp", *target.routed_name.labels))
    expect_negative(target.lookup(name, "SRV"), dns.rcode.NXDOMAIN)


@CASES.case(9460, "2.4.3")
def svcb_params(target: Target) -> None:
    """SVCB tells a port and protocols in service mode; or there is none."""
    response = target.lookup(target.routed_name, "SVCB")
    if not response.answer:
        return expect_negative(response, dns.rcode.NOERROR)
    rdata = response.answer[0][0]
    expect(rdata.priority > 0 and ParamKey.PORT in rdata.params, f"priority {rdata.priority}, {rdata.params}")
    return None


@CASES.case(9460, "9.5")
def https_only_where_tls_is(target: Target) -> None:
    """HTTPS stands only where the box speaks TLS; else NODATA, since it turns clients to TLS."""
    response = target.lookup(target.routed_name, "HTTPS")
    if not response.answer:
        return expect_negative(response, dns.rcode.NOERROR)
    expect(ParamKey.ALPN in response.answer[0][0].params, "no ALPN")
    return None


@CASES.case(1035, "3.4.1")
def box_names_are_ours(target: Target) -> None:
    """A name made of any address is not there: else the zone would name whatever one likes."""
    expect_negative(target.lookup(target.below("b-c6336401")), dns.rcode.NXDOMAIN)
