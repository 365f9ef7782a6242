"""Messages that are unusual, malformed or hostile."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from functools import partial

import dns.message
import dns.name
import dns.opcode
import dns.rcode

from .checks import expect
from .registry import CaseRegistry
from .target import HEADER_BYTES, RCODE_MASK, Target

CASES = CaseRegistry()

QR_BIT, OPCODE_SHIFT, OPCODE_MASK = 0x80, 3, 0x0F  # of the header's third byte
MAX_NAME_BYTES, MAX_LABEL_BYTES = 255, 63
UNUSED_ID = b"\xaa\x55"  # differs from the id of the valid query that is sent next


def expect_formerr(target: Target, wire: bytes) -> None:
    """Requires FORMERR for raw bytes, in a response of at most twice their size or 64 bytes."""
    response = target.exchange_udp(wire)
    rcode = response[3] & RCODE_MASK
    expect(response[:2] == wire[:2], "another id")
    expect(response[2] & QR_BIT, "QR is not set")
    expect(rcode == dns.rcode.FORMERR, f"{dns.rcode.Rcode(rcode).name}, not FORMERR")
    expect(len(response) <= max(len(wire) * 2, 64), f"{len(response)} bytes for {len(wire)}")


def soa_query(target: Target) -> bytearray:
    """Returns the bytes of a valid query."""
    return bytearray(target.build_query(target.zone, "SOA").to_wire())


def with_counts(target: Target, questions: int, records: tuple[int, int, int] = (0, 0, 0)) -> bytes:
    """Returns a query whose header has other counts than its sections."""
    wire = soa_query(target)
    wire[4:HEADER_BYTES] = struct.pack(">HHHH", questions, *records)
    return bytes(wire)


def with_name(target: Target, name: bytes) -> bytes:
    """Returns a query for class IN and type A whose name is raw bytes."""
    return bytes(soa_query(target)[:HEADER_BYTES]) + name + b"\0\1\0\1"


def check_opcode(opcode: int, target: Target) -> None:
    """Requires NOTIMP with the query's opcode."""
    wire = soa_query(target)
    wire[2] = wire[2] & ~(OPCODE_MASK << OPCODE_SHIFT) | opcode << OPCODE_SHIFT
    response = target.exchange_udp(bytes(wire))
    rcode = response[3] & RCODE_MASK
    expect(rcode == dns.rcode.NOTIMP, f"code {rcode}, not NOTIMP")
    expect(response[2] >> OPCODE_SHIFT & OPCODE_MASK == opcode, "another opcode goes back")


for opcode in (1, 2, 3, 4, 5, 6, 7, 15):
    CASES.add(
        f"opcode-{opcode}",
        1035,
        "4.1.1",
        f"opcode {opcode} is not implemented, and said so",
        partial(check_opcode, opcode),
    )


@CASES.case(1035, "4.1.1")
def an_answer_is_no_question(target: Target) -> None:
    """What is itself an answer gets none: else two servers talk for ever."""
    wire = soa_query(target)
    wire[0:2], wire[2] = UNUSED_ID, wire[2] | QR_BIT
    expect(target.is_unanswered(bytes(wire)), "an answer to an answer")


@CASES.case(1035, "4.1.1")
def a_cut_header(target: Target) -> None:
    """Less than a header gets no answer."""
    expect(target.is_unanswered(UNUSED_ID + bytes(HEADER_BYTES - 3)), "an answer")


def check_question_count(questions: int, target: Target) -> None:
    """Requires FORMERR for one question and a count other than 1."""
    expect_formerr(target, with_counts(target, questions))


for question_count, description in (
    (0, "no question"),
    (2, "two questions announced"),
    (65_535, "65,535 announced"),
):
    CASES.add(
        f"questions-{question_count}",
        9619,
        "4",
        f"{description}: FORMERR",
        partial(check_question_count, question_count),
    )


@CASES.case(9619, "4")
def questions_two_whole(target: Target) -> None:
    """Two whole questions are FORMERR."""
    wire = soa_query(target)
    wire[4:6] = b"\0\2"
    expect_formerr(target, bytes(wire + wire[HEADER_BYTES:]))


def check_record_count(records: tuple[int, int, int], target: Target) -> None:
    """Requires FORMERR for a record that is counted in the header and missing."""
    expect_formerr(target, with_counts(target, 1, records))


for section_name, record_counts in (
    ("answers", (1, 0, 0)),
    ("authority", (0, 1, 0)),
    ("additional", (0, 0, 1)),
):
    CASES.add(
        f"count-of-{section_name}",
        1035,
        "4.1.1",
        f"a record announced in {section_name} and not there: FORMERR",
        partial(check_record_count, record_counts),
    )


@CASES.case(1035, "4.1")
def rest_behind(target: Target) -> None:
    """Bytes behind the message are FORMERR."""
    expect_formerr(target, bytes(soa_query(target)) + b"rest")


@CASES.case(1035, "4.1.2")
def every_cut(target: Target) -> None:
    """A question cut at any byte is FORMERR, or less than a header and dropped."""
    wire = bytes(soa_query(target))
    for length in range(HEADER_BYTES, len(wire)):
        expect_formerr(target, wire[:length])


def check_name(name: bytes, target: Target) -> None:
    """Requires FORMERR for a malformed name."""
    expect_formerr(target, with_name(target, name))


for label, description, raw_name in (
    ("loop", "a name that points at itself", b"\xc0\x0c"),
    ("forward", "a name that points ahead", b"\xc0\x20"),
    ("outside", "a name that points behind the message", b"\xff\xff"),
    ("label-type-40", "a label of a type that is none", b"\x41a\0"),
    ("label-type-80", "a label of the other such type", b"\x81a\0"),
    ("too-long", "a name of more than 255 bytes", (b"\x3f" + b"a" * 63) * 4 + b"\0"),
    ("unended", "a name without an end", b"\x05abcde"),
):
    CASES.add(f"name-{label}", 1035, "4.1.4", f"{description}: FORMERR", partial(check_name, raw_name))


@CASES.case(1035, "2.3.4")
def longest_label(target: Target) -> None:
    """A label of 63 bytes is legal."""
    response = target.lookup(target.below("a" * 63))
    expect(response.rcode() == dns.rcode.NXDOMAIN, response.rcode().name)


def name_bytes(labels: Iterable[bytes]) -> int:
    """Returns the size of labels in a message, where each has a length byte."""
    return sum(len(label) + 1 for label in labels)


@CASES.case(1035, "2.3.4")
def longest_name(target: Target) -> None:
    """A name of 255 bytes is legal."""
    max_labels_bytes = MAX_NAME_BYTES - name_bytes(target.zone.labels)
    labels = [b"a" * min(MAX_LABEL_BYTES, max_labels_bytes - 1)]
    while (remaining_bytes := max_labels_bytes - name_bytes(labels)) >= 2:
        labels.append(b"b" * min(MAX_LABEL_BYTES, remaining_bytes - 1))
    response = target.lookup(dns.name.Name((*labels, *target.zone.labels)))
    expect(response.rcode() == dns.rcode.NXDOMAIN, response.rcode().name)


@CASES.case(2181, "11")
def any_byte_in_a_label(target: Target) -> None:
    """Labels of any bytes are legal: dots, zeros, bytes above 127."""
    name = dns.name.Name((b"a.b\0\xff ", *target.zone.labels))
    response = target.lookup(name)
    expect(response.rcode() == dns.rcode.NXDOMAIN, response.rcode().name)
    expect(response.question[0].name.labels == name.labels, "the question came back changed")


@CASES.case(6895, "3.1")
def meta_type(target: Target) -> None:
    """OPT is no type that can be asked for."""
    wire = soa_query(target)
    wire[-4:-2] = b"\0\x29"
    rcode = target.rcode(bytes(wire))
    expect(rcode in (dns.rcode.FORMERR, dns.rcode.NOTIMP, dns.rcode.REFUSED), f"code {rcode}")


@CASES.case(8945, "5.2")
def signed_with_an_unknown_key(target: Target) -> None:
    """A signature by a key that it has not is NOTAUTH."""
    query = target.build_query(target.zone, "SOA")
    query.use_tsig({dns.name.from_text("nobody."): b"0" * 32}, algorithm="hmac-sha256")
    rcode = target.rcode(query.to_wire())
    expect(rcode == dns.rcode.NOTAUTH, f"code {rcode}")


@CASES.case(1035, "4.1.1")
def ids_of_all_kinds(target: Target) -> None:
    """Each id comes back, 0 and 65,535, too."""
    for number in (0, 1, 0x00FF, 0xFF00, 65_535):
        query = target.build_query(target.zone, "SOA")
        query.id = number
        expect(target.parse_response(target.exchange_udp(query.to_wire())).id == number, f"not {number}")


@CASES.case(5452, "9.1")
def many_from_one_socket(target: Target) -> None:
    """Questions that follow at once are all answered, each by its id."""
    queries = [target.build_query(target.zone, "SOA") for _ in range(20)]
    for number, query in enumerate(queries):
        query.id = number + 100
    responses = target.exchange_datagrams([query.to_wire() for query in queries], 20)
    ids = {int.from_bytes(wire[:2], "big") for wire in responses}
    expect(ids == set(range(100, 120)), f"{len(responses)} of 20")
