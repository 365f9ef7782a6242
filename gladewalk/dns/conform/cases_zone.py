"""The zone: apex, negative answers, empty names, names by rule, types."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype

from .suite import add, case
from .target import Failed, Skipped, Target, expect, section_types


def negative(reply: dns.message.Message, rcode: dns.rcode.Rcode) -> None:
    """No answer, and the SOA that says for how long (RFC 2308, 3)."""
    expect(reply.rcode() == rcode, f"{reply.rcode().name}, not {rcode.name}")
    expect(not reply.answer, f"records: {section_types(reply.answer)}")
    expect(section_types(reply.authority) == {"SOA"}, f"authority: {section_types(reply.authority)}")
    soa = reply.authority[0]
    expect(soa.ttl <= soa[0].minimum, f"the SOA may be kept {soa.ttl} s, its minimum is {soa[0].minimum}")


def nodata(target: Target, text: str, kind: str = "A") -> dns.message.Message:
    reply = target.ask(target.below(text), kind)
    negative(reply, dns.rcode.NOERROR)
    return reply


def nxdomain(target: Target, text: str, kind: str = "A") -> None:
    negative(target.ask(target.below(text), kind), dns.rcode.NXDOMAIN)


# The apex.


@case(1035, "3.3.13")
def apex_soa(target: Target) -> None:
    """The apex has one SOA."""
    reply = target.ask(target.zone, "SOA")
    expect(len(reply.answer) == 1 and len(reply.answer[0]) == 1, f"{len(reply.answer)} sets")
    expect(reply.answer[0].name == target.zone, f"of {reply.answer[0].name}")


@case(1035, "3.3.13")
def apex_soa_times(target: Target) -> None:
    """The SOA's times are in the order that secondaries need: retry under refresh under expire."""
    soa = target.ask(target.zone, "SOA").answer[0][0]
    expect(0 < soa.retry <= soa.refresh < soa.expire, f"{soa.retry}, {soa.refresh}, {soa.expire}")


@case(2181, "7.3")
def apex_soa_mname(target: Target) -> None:
    """The SOA names a server that is one of the NS set."""
    soa = target.ask(target.zone, "SOA").answer[0][0]
    servers = {rdata.target for rdata in target.ask(target.zone, "NS").answer[0]}
    expect(soa.mname in servers, f"{soa.mname} is not among {sorted(map(str, servers))}")


@case(1034, "4.2.1")
def apex_ns(target: Target) -> None:
    """The apex has an NS set."""
    reply = target.ask(target.zone, "NS")
    expect(section_types(reply.answer) == {"NS"} and len(reply.answer[0]), "no NS")


@case(1034, "4.2.1")
def apex_ns_glue(target: Target) -> None:
    """Servers within the zone come with their addresses."""
    reply = target.ask(target.zone, "NS")
    given = {rrset.name for rrset in reply.additional}
    for rdata in reply.answer[0]:
        if rdata.target.is_subdomain(target.zone):
            expect(rdata.target in given, f"{rdata.target} has no address in the answer")


@case(1912, "2.8")
def apex_ns_addresses(target: Target) -> None:
    """Servers within the zone have addresses of their own, and no CNAME (RFC 2181, 10.3)."""
    for rdata in target.ask(target.zone, "NS").answer[0]:
        if rdata.target.is_subdomain(target.zone):
            kinds = section_types(target.ask(rdata.target, "A").answer)
            kinds |= section_types(target.ask(rdata.target, "AAAA").answer)
            expect(kinds and kinds <= {"A", "AAAA"}, f"{rdata.target} has {kinds or 'nothing'}")


@case(2308, "3")
def apex_nodata(target: Target) -> None:
    """A type that the apex lacks is NODATA with the SOA."""
    negative(target.ask(target.zone, "TXT"), dns.rcode.NOERROR)


@case(4035, "3.1.4.1")
def apex_ds(target: Target) -> None:
    """DS of an unsigned zone's apex, asked of the zone itself, is NODATA."""
    negative(target.ask(target.zone, "DS"), dns.rcode.NOERROR)


@case(4035, "3.1.1")
def apex_dnskey(target: Target) -> None:
    """An unsigned zone has no DNSKEY: NODATA, no error."""
    negative(target.ask(target.zone, "DNSKEY"), dns.rcode.NOERROR)


# Names without data, and no names.


@case(8020, "2")
def empty_class(target: Target) -> None:
    """The name of a class has nothing, and names below it: NODATA."""
    nodata(target, target.class_name)


@case(8020, "2")
def empty_object(target: Target) -> None:
    """The name of an object has nothing, and parts below it: NODATA."""
    nodata(target, f"{target.object_name}.{target.class_name}")


@case(8020, "2")
def empty_group(target: Target) -> None:
    """The name of an object's group: NODATA."""
    nodata(target, f"g3.{target.object_name}.{target.class_name}")


@case(8020, "2")
def empty_service(target: Target) -> None:
    """What stands between a name and its SRV name: NODATA."""
    nodata(target, f"_tcp.0.{target.object_name}.{target.class_name}")


def minimised(target: Target, kind: str) -> None:
    name = target.routed
    for depth in range(len(target.zone), len(name) + 1):
        reply = target.ask(name.split(depth)[1], kind)
        expect(reply.rcode() == dns.rcode.NOERROR, f"{reply.rcode().name} at {name.split(depth)[1]}")


for kind_asked in ("NS", "A", "AAAA"):
    add(
        f"minimised-{kind_asked.lower()}", 9156, "2.3",
        f"a resolver that adds a label at a time, asking {kind_asked}, is led to the whole name",
        lambda target, kind=kind_asked: minimised(target, kind),  # type: ignore[misc]
    )  # fmt: skip


@case(2308, "2.1")
def nxdomain_apex(target: Target) -> None:
    """A name that is not there is NXDOMAIN, with the SOA."""
    nxdomain(target, "no-such-name")


@case(8020, "2")
def nxdomain_below(target: Target) -> None:
    """Below a name that is not there is nothing either."""
    nxdomain(target, "a.b.no-such-name")


@case(2308, "2.1")
def nxdomain_class(target: Target) -> None:
    """Another class's name is not there."""
    nxdomain(target, f"0.{target.object_name}.no-such-class")


@case(2308, "2.1")
def nxdomain_part(target: Target) -> None:
    """A part that is no number is not there."""
    nxdomain(target, f"x.{target.object_name}.{target.class_name}")


@case(2308, "2.1")
def nxdomain_too_deep(target: Target) -> None:
    """Below a whole name is nothing."""
    nxdomain(target, f"x.0.g3.{target.object_name}.{target.class_name}")


@case(2308, "5")
def negative_ttl(target: Target) -> None:
    """NXDOMAIN and NODATA may be kept for the same time."""
    no_name = target.ask(target.below("no-such-name")).authority[0].ttl
    no_data = target.ask(target.zone, "TXT").authority[0].ttl
    expect(no_name == no_data, f"{no_name} and {no_data} s")


@case(2308, "3")
def negative_soa_owner(target: Target) -> None:
    """The SOA of a negative answer is that of the zone."""
    owner = target.ask(target.below("no-such-name")).authority[0].name
    expect(owner == target.zone, f"of {owner}")


@case(4592, "2.1.1")
def wildcard_asked_for(target: Target) -> None:
    """An asterisk in a question is a label like another: nothing is made up for it."""
    reply = target.ask(target.below("*"))
    expect(reply.rcode() in (dns.rcode.NXDOMAIN, dns.rcode.NOERROR), reply.rcode().name)
    expect(all(rrset.name.labels[0] == b"*" for rrset in reply.answer), "another owner")


# Environment the zone.


def refused(target: Target, name: dns.name.Name, kind: str = "A") -> None:
    reply = target.ask(name, kind)
    expect(reply.rcode() == dns.rcode.REFUSED, f"{reply.rcode().name}, not REFUSED")
    expect(not (reply.answer or reply.authority or reply.additional), "records with a refusal")


@case(1035, "4.1.1")
def outside_parent(target: Target) -> None:
    """The zone's parent is not ours."""
    refused(target, target.zone.parent(), "NS")


@case(1035, "4.1.1")
def outside_root(target: Target) -> None:
    """The root is not ours: no referral upwards (RFC 8499: a lame answer)."""
    refused(target, dns.name.root, "NS")


@case(1035, "4.1.1")
def outside_like(target: Target) -> None:
    """A name that only ends alike, without a label's bound, is not ours."""
    refused(target, dns.name.from_text("x" + target.zone.to_text()))


@case(1035, "3.2.4")
def class_chaos(target: Target) -> None:
    """Class CH is not ours."""
    reply = target.answer(target.query(dns.name.from_text("version.bind."), "TXT", rdclass="CH"))
    expect(reply.rcode() in (dns.rcode.REFUSED, dns.rcode.NOTIMP), reply.rcode().name)


@case(1035, "3.2.4")
def class_of_our_names(target: Target) -> None:
    """Our names exist in class IN alone."""
    reply = target.answer(target.query(target.zone, "SOA", rdclass="CH"))
    expect(reply.rcode() == dns.rcode.REFUSED and not reply.answer, reply.rcode().name)


# Types.

for kind_without in ("TXT", "MX", "PTR", "CNAME", "NS", "SOA", "CAA", "NAPTR", "DS", "NSEC", "TYPE65280"):
    add(
        f"nodata-type-{kind_without.lower()}", 2308, "2.2",
        f"a routed name has no {kind_without}: NODATA with the SOA",
        lambda target, kind=kind_without: negative(  # type: ignore[misc]
            target.ask(target.routed, kind), dns.rcode.NOERROR
        ),
    )  # fmt: skip


@case(8482, "4")
def any_is_small(target: Target) -> None:
    """ANY is answered by no more than one set."""
    reply = target.ask(target.zone, "ANY")
    expect(len(reply.answer) == 1, f"{len(reply.answer)} sets")


@case(8482, "4.2")
def any_routed(target: Target) -> None:
    """ANY of a routed name gives no address away."""
    reply = target.ask(target.routed, "ANY")
    expect(reply.rcode() == dns.rcode.NOERROR and len(reply.answer) == 1, "no single set")
    expect(section_types(reply.answer) <= {"HINFO", "A", "AAAA"}, str(section_types(reply.answer)))


@case(8482, "4")
def any_nxdomain(target: Target) -> None:
    """ANY does not make a name exist."""
    nxdomain(target, "no-such-name", "ANY")


@case(8020, "2")
def any_empty(target: Target) -> None:
    """ANY of an empty name is NODATA."""
    nodata(target, target.class_name, "ANY")


def transfer(target: Target, kind: str) -> None:
    query = target.query(target.zone, kind)
    reply = target.tcp(query)[0] if kind == "AXFR" else target.answer(query)
    expect(reply.rcode() in (dns.rcode.REFUSED, dns.rcode.NOTIMP), f"{reply.rcode().name}")
    expect(not reply.answer, "records of the zone")


add("axfr", 5936, "2.2.1", "a transfer is refused", lambda target: transfer(target, "AXFR"))
add("ixfr", 1995, "2", "an incremental transfer is refused", lambda target: transfer(target, "IXFR"))


# Addresses.


def addresses(target: Target) -> tuple[str, dns.message.Message]:
    """The family that the routed name has, and its answer."""
    for kind in ("A", "AAAA"):
        reply = target.ask(target.routed, kind)
        if reply.answer:
            return kind, reply
    raise Failed("the routed name has no address at all")


@case(1035, "3.4.1")
def routed_address(target: Target) -> None:
    """A routed name has an address, its owner the name as it was asked for."""
    _, reply = addresses(target)
    expect(reply.answer[0].name.labels == target.routed.labels, str(reply.answer[0].name))


@case(1035, "3.2.1")
def routed_ttl(target: Target) -> None:
    """What the core decides is kept for a short time alone."""
    _, reply = addresses(target)
    expect(reply.answer[0].ttl <= 60, f"{reply.answer[0].ttl} s")


@case(4343, "3")
def routed_case(target: Target) -> None:
    """Letters' case is no difference."""
    kind, reply = addresses(target)
    upper = target.ask(dns.name.from_text(target.routed.to_text().upper()), kind)
    expect(section_types(upper.answer) == section_types(reply.answer), "another answer in upper case")


@case(4074, "3")
def routed_other_family(target: Target) -> None:
    """The family that it has no address of is NODATA, neither NXDOMAIN nor an error."""
    kind, _ = addresses(target)
    reply = target.ask(target.routed, "A" if kind == "AAAA" else "AAAA")
    if reply.answer:
        raise Skipped("it has both")
    negative(reply, dns.rcode.NOERROR)


@case(2181, "5.2")
def one_ttl_a_set(target: Target) -> None:
    """All records of a set have one time to live."""
    raw = target.read(target.udp(target.query(target.zone, "NS").to_wire()))
    expect(len({rrset.ttl for rrset in raw.answer}) == 1, "several")


# Services.


def service(target: Target) -> dns.message.Message:
    reply = target.ask(target.service, "SRV")
    expect(section_types(reply.answer) == {"SRV"}, f"{reply.rcode().name}, {section_types(reply.answer)}")
    return reply


@case(2782, "")
def srv_port(target: Target) -> None:
    """The SRV name of a routed name tells a port."""
    expect(all(0 < rdata.port < 65_536 for rdata in service(target).answer[0]), "port 0")


@case(2782, "")
def srv_target(target: Target) -> None:
    """An SRV's target has an address record, and it comes along."""
    reply = service(target)
    given = {rrset.name: rrset for rrset in reply.additional}
    for rdata in reply.answer[0]:
        expect(rdata.target in given, f"{rdata.target} has no address in the answer")
        kind = dns.rdatatype.to_text(given[rdata.target].rdtype)
        own = target.ask(rdata.target, kind)
        expect(section_types(own.answer) == {kind}, f"{rdata.target} asked for itself has none")


@case(2782, "")
def srv_name_has_no_address(target: Target) -> None:
    """The SRV name itself has no address: NODATA."""
    negative(target.ask(target.service, "A"), dns.rcode.NOERROR)


@case(2782, "")
def srv_at_the_name(target: Target) -> None:
    """SRV of the name without its service is NODATA."""
    negative(target.ask(target.routed, "SRV"), dns.rcode.NOERROR)


@case(2782, "")
def srv_other_service(target: Target) -> None:
    """A service that is not offered is not there."""
    name = dns.name.Name((b"_smtp", b"_tcp", *target.routed.labels))
    negative(target.ask(name, "SRV"), dns.rcode.NXDOMAIN)


@case(9460, "2.4.3")
def svcb_params(target: Target) -> None:
    """SVCB tells a port and protocols in service mode; or there is none."""
    reply = target.ask(target.routed, "SVCB")
    if not reply.answer:
        return negative(reply, dns.rcode.NOERROR)
    rdata = reply.answer[0][0]
    expect(rdata.priority > 0 and 3 in rdata.params, f"priority {rdata.priority}, {rdata.params}")
    return None


@case(9460, "9.5")
def https_only_where_tls_is(target: Target) -> None:
    """HTTPS stands only where the box speaks TLS; else NODATA, since it turns clients to TLS."""
    reply = target.ask(target.routed, "HTTPS")
    if not reply.answer:
        return negative(reply, dns.rcode.NOERROR)
    expect(1 in reply.answer[0][0].params, "no ALPN")
    return None


@case(1035, "3.4.1")
def box_names_are_ours(target: Target) -> None:
    """A name made of any address is not there: else the zone would name whatever one likes."""
    nxdomain(target, "b-c6336401")
