"""Messages that are odd, broken or hostile."""

from __future__ import annotations

import struct

import dns.message
import dns.opcode
import dns.rcode

from .suite import add, case
from .target import Target, expect

HEAD = 12


def code_is(target: Target, wire: bytes, wanted: dns.rcode.Rcode = dns.rcode.FORMERR) -> None:
    answer = target.udp(wire)
    expect(answer[:2] == wire[:2], "another id")
    expect(answer[2] & 0x80, "QR is not set")
    expect(answer[3] & 0x0F == wanted, f"{dns.rcode.Rcode(answer[3] & 0x0F).name}, not {wanted.name}")
    expect(len(answer) <= max(len(wire) * 2, 64), f"{len(answer)} bytes for {len(wire)}")


def good(target: Target) -> bytearray:
    return bytearray(target.query(target.zone, "SOA").to_wire())


def counts(
    target: Target, questions: int, answers: int = 0, authority: int = 0, additional: int = 0
) -> bytes:
    wire = good(target)
    wire[4:12] = struct.pack(">HHHH", questions, answers, authority, additional)
    return bytes(wire)


def with_name(target: Target, name: bytes) -> bytes:
    return bytes(good(target)[:HEAD]) + name + b"\0\1\0\1"


for number in (1, 2, 3, 4, 5, 6, 7, 15):

    def opcode(target: Target, number: int = number) -> None:
        wire = good(target)
        wire[2] = wire[2] & 0x87 | number << 3
        answer = target.udp(bytes(wire))
        expect(answer[3] & 0x0F == dns.rcode.NOTIMP, f"code {answer[3] & 0x0F}, not NOTIMP")
        expect(answer[2] >> 3 & 0x0F == number, "another opcode goes back")

    add(f"opcode-{number}", 1035, "4.1.1", f"opcode {number} is not implemented, and said so", opcode)


@case(1035, "4.1.1")
def an_answer_is_no_question(target: Target) -> None:
    """What is itself an answer gets none: else two servers talk for ever."""
    wire = good(target)
    wire[0:2], wire[2] = b"\xaa\x55", wire[2] | 0x80
    expect(target.unanswered(bytes(wire)), "an answer to an answer")


@case(1035, "4.1.1")
def a_cut_header(target: Target) -> None:
    """Less than a header gets no answer."""
    expect(target.unanswered(b"\xaa\x55" + bytes(9)), "an answer")


for questions, say in ((0, "no question"), (2, "two questions announced"), (65_535, "65,535 announced")):
    add(
        f"questions-{questions}", 9619, "4", f"{say}: FORMERR",
        lambda target, n=questions: code_is(target, counts(target, n)),  # type: ignore[misc]
    )  # fmt: skip


@case(9619, "4")
def questions_two_whole(target: Target) -> None:
    """Two whole questions are FORMERR."""
    wire = good(target)
    wire[4:6] = b"\0\2"
    code_is(target, bytes(wire + wire[HEAD:]))


for place, label in ((1, "answers"), (2, "authority"), (3, "additional")):

    def lies(target: Target, place: int = place) -> None:
        numbers = [0, 0, 0]
        numbers[place - 1] = 1
        code_is(target, counts(target, 1, *numbers))

    add(f"count-of-{label}", 1035, "4.1.1", f"a record announced in {label} and not there: FORMERR", lies)


@case(1035, "4.1")
def rest_behind(target: Target) -> None:
    """Bytes behind the message are FORMERR."""
    code_is(target, bytes(good(target)) + b"rest")


@case(1035, "4.1.2")
def every_cut(target: Target) -> None:
    """A question cut at any byte is FORMERR, or less than a header and dropped."""
    wire = bytes(good(target))
    for length in range(HEAD, len(wire)):
        code_is(target, wire[:length])


for name, say, data in (
    ("loop", "a name that points at itself", b"\xc0\x0c"),
    ("forward", "a name that points ahead", b"\xc0\x20"),
    ("outside", "a name that points behind the message", b"\xff\xff"),
    ("label-type-40", "a label of a type that is none", b"\x41a\0"),
    ("label-type-80", "a label of the other such type", b"\x81a\0"),
    ("too-long", "a name of more than 255 bytes", (b"\x3f" + b"a" * 63) * 4 + b"\0"),
    ("unended", "a name without an end", b"\x05abcde"),
):
    add(
        f"name-{name}", 1035, "4.1.4", f"{say}: FORMERR",
        lambda target, data=data: code_is(target, with_name(target, data)),  # type: ignore[misc]
    )  # fmt: skip


@case(1035, "2.3.4")
def longest_label(target: Target) -> None:
    """A label of 63 bytes is legal."""
    reply = target.ask(target.below("a" * 63))
    expect(reply.rcode() == dns.rcode.NXDOMAIN, reply.rcode().name)


@case(1035, "2.3.4")
def longest_name(target: Target) -> None:
    """A name of 255 bytes is legal."""
    room = 255 - sum(len(label) + 1 for label in target.zone.labels)
    labels = [b"a" * min(63, room - 1)]
    while sum(len(label) + 1 for label in labels) + 2 <= room:
        left = room - sum(len(label) + 1 for label in labels)
        labels.append(b"b" * min(63, left - 1))
    reply = target.ask(dns.name.Name((*labels, *target.zone.labels)))
    expect(reply.rcode() == dns.rcode.NXDOMAIN, reply.rcode().name)


@case(2181, "11")
def any_byte_in_a_label(target: Target) -> None:
    """Labels of any bytes are legal: dots, zeros, bytes above 127."""
    name = dns.name.Name((b"a.b\0\xff ", *target.zone.labels))
    reply = target.ask(name)
    expect(reply.rcode() == dns.rcode.NXDOMAIN, reply.rcode().name)
    expect(reply.question[0].name.labels == name.labels, "the question came back changed")


@case(6895, "3.1")
def meta_type(target: Target) -> None:
    """OPT is no type that can be asked for."""
    wire = good(target)
    wire[-4:-2] = b"\0\x29"
    code = target.rcode(bytes(wire))
    expect(code in (dns.rcode.FORMERR, dns.rcode.NOTIMP, dns.rcode.REFUSED), f"code {code}")


@case(8945, "5.2")
def signed_with_an_unknown_key(target: Target) -> None:
    """A signature by a key that it has not is NOTAUTH."""
    query = target.query(target.zone, "SOA")
    query.use_tsig({dns.name.from_text("nobody."): b"0" * 32}, algorithm="hmac-sha256")
    code = target.rcode(query.to_wire())
    expect(code == dns.rcode.NOTAUTH, f"code {code}")


@case(1035, "4.1.1")
def ids_of_all_kinds(target: Target) -> None:
    """Each id comes back, 0 and 65,535, too."""
    for number in (0, 1, 0x00FF, 0xFF00, 65_535):
        query = target.query(target.zone, "SOA")
        query.id = number
        expect(target.read(target.udp(query.to_wire())).id == number, f"not {number}")


@case(5452, "9.1")
def many_from_one_socket(target: Target) -> None:
    """Questions that follow at once are all answered, each by its id."""
    queries = [target.query(target.zone, "SOA") for _ in range(20)]
    for number, query in enumerate(queries):
        query.id = number + 100
    answers = target.udp_many([query.to_wire() for query in queries], 20)
    expect({int.from_bytes(a[:2], "big") for a in answers} == set(range(100, 120)), f"{len(answers)} of 20")
