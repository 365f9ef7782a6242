"""The zone: its apex, empty names, negative responses, and names outside of it."""

from __future__ import annotations

from functools import partial

import dns.name
import dns.rcode

from .checks import expect, expect_negative, section_types
from .registry import CaseRegistry
from .target import Target

CASES = CaseRegistry()

# The apex.


@CASES.case(1035, "3.3.13")
def apex_soa(target: Target) -> None:
    """The apex has one SOA."""
    response = target.lookup(target.zone, "SOA")
    expect(len(response.answer) == 1 and len(response.answer[0]) == 1, f"{len(response.answer)} sets")
    expect(response.answer[0].name == target.zone, f"of {response.answer[0].name}")


@CASES.case(1035, "3.3.13")
def apex_soa_times(target: Target) -> None:
    """The SOA's times are in the order that secondaries need: retry under refresh under expire."""
    soa = target.lookup(target.zone, "SOA").answer[0][0]
    expect(0 < soa.retry <= soa.refresh < soa.expire, f"{soa.retry}, {soa.refresh}, {soa.expire}")


@CASES.case(2181, "7.3")
def apex_soa_mname(target: Target) -> None:
    """The SOA names a server that is one of the NS set."""
    soa = target.lookup(target.zone, "SOA").answer[0][0]
    servers = {rdata.target for rdata in target.lookup(target.zone, "NS").answer[0]}
    expect(soa.mname in servers, f"{soa.mname} is not among {sorted(map(str, servers))}")


@CASES.case(1034, "4.2.1")
def apex_ns(target: Target) -> None:
    """The apex has an NS set."""
    response = target.lookup(target.zone, "NS")
    expect(section_types(response.answer) == {"NS"} and len(response.answer[0]), "no NS")


@CASES.case(1034, "4.2.1")
def apex_ns_glue(target: Target) -> None:
    """Servers within the zone come with their addresses."""
    response = target.lookup(target.zone, "NS")
    additional_names = {rrset.name for rrset in response.additional}
    for rdata in response.answer[0]:
        if rdata.target.is_subdomain(target.zone):
            expect(rdata.target in additional_names, f"{rdata.target} has no address in the answer")


@CASES.case(1912, "2.8")
def apex_ns_addresses(target: Target) -> None:
    """Servers within the zone have addresses of their own, and no CNAME (RFC 2181, 10.3)."""
    for rdata in target.lookup(target.zone, "NS").answer[0]:
        if rdata.target.is_subdomain(target.zone):
            found = section_types(target.lookup(rdata.target, "A").answer)
            found |= section_types(target.lookup(rdata.target, "AAAA").answer)
            expect(found and found <= {"A", "AAAA"}, f"{rdata.target} has {found or 'nothing'}")


@CASES.case(2308, "3")
def apex_nodata(target: Target) -> None:
    """A type that the apex lacks is NODATA with the SOA."""
    expect_negative(target.lookup(target.zone, "TXT"), dns.rcode.NOERROR)


@CASES.case(4035, "3.1.4.1")
def apex_ds(target: Target) -> None:
    """DS of an unsigned zone's apex, asked of the zone itself, is NODATA."""
    expect_negative(target.lookup(target.zone, "DS"), dns.rcode.NOERROR)


@CASES.case(4035, "3.1.1")
def apex_dnskey(target: Target) -> None:
    """An unsigned zone has no DNSKEY: NODATA, no error."""
    expect_negative(target.lookup(target.zone, "DNSKEY"), dns.rcode.NOERROR)


# Names without data, and names that do not exist.


def expect_nodata(target: Target, text: str) -> None:
    """Requires NODATA for type A of a name relative to the zone."""
    expect_negative(target.lookup(target.below(text)), dns.rcode.NOERROR)


def expect_nxdomain(target: Target, text: str) -> None:
    """Requires NXDOMAIN for type A of a name relative to the zone."""
    expect_negative(target.lookup(target.below(text)), dns.rcode.NXDOMAIN)


@CASES.case(8020, "2")
def empty_class(target: Target) -> None:
    """The name of a class has nothing, and names below it: NODATA."""
    expect_nodata(target, target.class_name)


@CASES.case(8020, "2")
def empty_object(target: Target) -> None:
    """The name of an object has nothing, and parts below it: NODATA."""
    expect_nodata(target, f"{target.object_name}.{target.class_name}")


@CASES.case(8020, "2")
def empty_group(target: Target) -> None:
    """The name of an object's group: NODATA."""
    expect_nodata(target, f"g3.{target.object_name}.{target.class_name}")


@CASES.case(8020, "2")
def empty_service(target: Target) -> None:
    """What stands between a name and its SRV name: NODATA."""
    expect_nodata(target, f"_tcp.0.{target.object_name}.{target.class_name}")


def check_minimised(rdtype: str, target: Target) -> None:
    """Requires NOERROR for each name from the zone down to a routed name."""
    name = target.routed_name
    for depth in range(len(target.zone), len(name) + 1):
        ancestor = name.split(depth)[1]
        response = target.lookup(ancestor, rdtype)
        expect(response.rcode() == dns.rcode.NOERROR, f"{response.rcode().name} at {ancestor}")


for minimised_type in ("NS", "A", "AAAA"):
    CASES.add(
        f"minimised-{minimised_type.lower()}",
        9156,
        "2.3",
        f"a resolver that adds a label at a time, asking {minimised_type}, is led to the whole name",
        partial(check_minimised, minimised_type),
    )


@CASES.case(2308, "2.1")
def nxdomain_apex(target: Target) -> None:
    """A name that is not there is NXDOMAIN, with the SOA."""
    expect_nxdomain(target, "no-such-name")


@CASES.case(8020, "2")
def nxdomain_below(target: Target) -> None:
    """Below a name that is not there is nothing either."""
    expect_nxdomain(target, "a.b.no-such-name")


@CASES.case(2308, "2.1")
def nxdomain_class(target: Target) -> None:
    """Another class's name is not there."""
    expect_nxdomain(target, f"0.{target.object_name}.no-such-class")


@CASES.case(2308, "2.1")
def nxdomain_part(target: Target) -> None:
    """A part that is no number is not there."""
    expect_nxdomain(target, f"x.{target.object_name}.{target.class_name}")


@CASES.case(2308, "2.1")
def nxdomain_too_deep(target: Target) -> None:
    """Below a whole name is nothing."""
    expect_nxdomain(target, f"x.0.g3.{target.object_name}.{target.class_name}")


@CASES.case(2308, "5")
def negative_ttl(target: Target) -> None:
    """NXDOMAIN and NODATA may be kept for the same time."""
    no_name = target.lookup(target.below("no-such-name")).authority[0].ttl
    no_data = target.lookup(target.zone, "TXT").authority[0].ttl
    expect(no_name == no_data, f"{no_name} and {no_data} s")


@CASES.case(2308, "3")
def negative_soa_owner(target: Target) -> None:
    """The SOA of a negative answer is that of the zone."""
    owner = target.lookup(target.below("no-such-name")).authority[0].name
    expect(owner == target.zone, f"of {owner}")


@CASES.case(4592, "2.1.1")
def wildcard_asked_for(target: Target) -> None:
    """An asterisk in a question is a label like another: nothing is made up for it."""
    response = target.lookup(target.below("*"))
    expect(response.rcode() in (dns.rcode.NXDOMAIN, dns.rcode.NOERROR), response.rcode().name)
    expect(all(rrset.name.labels[0] == b"*" for rrset in response.answer), "another owner")


# Outside the zone.


def expect_refused(target: Target, name: dns.name.Name, rdtype: str = "A") -> None:
    """Requires REFUSED without any records."""
    response = target.lookup(name, rdtype)
    expect(response.rcode() == dns.rcode.REFUSED, f"{response.rcode().name}, not REFUSED")
    expect(not (response.answer or response.authority or response.additional), "records with a refusal")


@CASES.case(1035, "4.1.1")
def outside_parent(target: Target) -> None:
    """The zone's parent is not ours."""
    expect_refused(target, target.zone.parent(), "NS")


@CASES.case(1035, "4.1.1")
def outside_root(target: Target) -> None:
    """The root is not ours: no referral upwards (RFC 8499: a lame answer)."""
    expect_refused(target, dns.name.root, "NS")


@CASES.case(1035, "4.1.1")
def outside_like(target: Target) -> None:
    """A name that only ends alike, without a label's bound, is not ours."""
    expect_refused(target, dns.name.from_text("x" + target.zone.to_text()))


@CASES.case(1035, "3.2.4")
def class_chaos(target: Target) -> None:
    """Class CH is not ours."""
    response = target.send_query(target.build_query(dns.name.from_text("version.bind."), "TXT", rdclass="CH"))
    expect(response.rcode() in (dns.rcode.REFUSED, dns.rcode.NOTIMP), response.rcode().name)


@CASES.case(1035, "3.2.4")
def class_of_our_names(target: Target) -> None:
    """Our names exist in class IN alone."""
    response = target.send_query(target.build_query(target.zone, "SOA", rdclass="CH"))
    expect(response.rcode() == dns.rcode.REFUSED and not response.answer, response.rcode().name)
