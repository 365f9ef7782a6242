"""How requests are passed on, out of the directives that are in force at a place: values read and checked."""

from __future__ import annotations

from collections.abc import Callable

from .parser import Node
from .table import Access, ErrorPage, Terms
from .values import BadValue, read_count, read_flag, read_ms, read_network, read_size

AGAIN = frozenset({
    "error", "timeout", "invalid_header", "http_500", "http_502", "http_503", "http_504", "http_403",
    "http_404", "http_429", "non_idempotent",
})  # fmt: skip
STALE = (AGAIN - {"non_idempotent"}) | {"updating"}
# What a level has of its own takes the place of all that an outer one has, lists too.
GROUPS = {"allow": "access", "deny": "access", "proxy_pass_header": "proxy_hide_header"}
HIDDEN = ["date", "server", "x-pad", "x-accel-expires", "x-accel-redirect", "x-accel-limit-rate",
          "x-accel-buffering", "x-accel-charset"]  # fmt: skip
OWN_FIELDS = [["Host", "$proxy_host"]]  # nginx's other one, `Connection: close`, is this program's affair

Scope = dict[str, list[Node]]


class Refusal(ValueError):
    """A directive that can't be carried over; the text says why."""

    def __init__(self, node: Node, why: str) -> None:
        super().__init__(why)
        self.node = node


def narrowed(scope: Scope, block: tuple[Node, ...]) -> Scope:
    """What is in force within a block: its own directives, and of the outer ones what it doesn't replace."""
    own: Scope = {}
    for node in block:
        own.setdefault(GROUPS.get(node.name, node.name), []).append(node)
    return {**scope, **own}


def last(scope: Scope, name: str) -> Node | None:
    found = scope.get(name)
    return found[-1] if found else None


def one(node: Node) -> str:
    if len(node.args) != 1:
        raise Refusal(node, f"takes one value, not {len(node.args)}")
    return node.args[0]


def read(node: Node, reader: Callable[[str], object]) -> object:
    try:
        return reader(one(node))
    except BadValue as error:
        raise Refusal(node, str(error)) from error


PLAIN = (
    ("proxy_connect_timeout", "connect_ms", read_ms),
    ("proxy_read_timeout", "read_ms", read_ms),
    ("proxy_send_timeout", "send_ms", read_ms),
    ("proxy_next_upstream_tries", "tries", read_count),
    ("proxy_next_upstream_timeout", "tries_ms", read_ms),
    ("proxy_cache_lock", "join", read_flag),
    ("proxy_cache_key", "key", str),
    ("client_max_body_size", "body_most", read_size),
)


def terms_of(scope: Scope) -> Terms:
    """`Refusal` for a value that can't be read."""
    values: dict[str, object] = {}
    for name, key, reader in PLAIN:
        node = last(scope, name)
        if node is not None:
            values[key] = read(node, reader)
    if node := last(scope, "proxy_next_upstream"):
        values["again_on"] = words(node, AGAIN)
    if node := last(scope, "proxy_cache_use_stale"):
        values["stale_on"] = words(node, STALE)
    if node := last(scope, "proxy_redirect"):
        if node.args not in (("off",), ("default",)):
            raise Refusal(node, "only `default` and `off` are carried over")
        values["redirect"] = node.args[0]
    for node in scope.get("proxy_cache_valid", ()):
        *codes, time = node.args or ("",)
        try:
            fresh = read_ms(time)
        except BadValue as error:
            raise Refusal(node, str(error)) from error
        if not codes or "200" in codes or "any" in codes:
            values.setdefault("fresh_ms", fresh)
    values["set_fields"] = set_fields(scope)
    values["hide_fields"] = hidden(scope)
    values["add_fields"] = added(scope)
    return Terms(**values)  # type: ignore[arg-type]


def words(node: Node, known: frozenset[str]) -> tuple[str, ...]:
    if node.args == ("off",):
        return ()
    for word in node.args:
        if word not in known:
            raise Refusal(node, f"'{word}' is no condition that is known")
    if not node.args:
        raise Refusal(node, "names no condition")
    return node.args


def set_fields(scope: Scope) -> list[list[str]]:
    """Fields sent on, in order; nginx's own `Host` where the file sets none (an empty value: not sent)."""
    fields = []
    for node in scope.get("proxy_set_header", ()):
        if len(node.args) != 2:
            raise Refusal(node, "takes a field and a value")
        name, value = node.args
        if name.lower() == "upgrade" and value:
            raise Refusal(node, "upgraded connections (WebSocket) are not carried")
        if name.lower() not in ("connection", "upgrade", "transfer-encoding", "content-length", "te"):
            fields.append([name, value])
    names = {name.lower() for name, _ in fields}
    return [each for each in OWN_FIELDS if each[0].lower() not in names] + fields


def hidden(scope: Scope) -> list[str]:
    names = list(HIDDEN)
    for node in scope.get("proxy_hide_header", ()):
        name = one(node).lower()
        if node.name == "proxy_pass_header":
            names = [each for each in names if each != name]
        elif name not in names:
            names.append(name)
    return names


def added(scope: Scope) -> list[list[str]]:
    fields = []
    for node in scope.get("add_header", ()):
        if len(node.args) not in (2, 3) or node.args[2:] not in ((), ("always",)):
            raise Refusal(node, "takes a field, a value and perhaps `always`")
        fields.append([node.args[0], node.args[1], *node.args[2:]] + [""] * (3 - len(node.args)))
    return fields


def check_satisfy(node: Node) -> None:
    if node.args != ("all",):
        raise Refusal(node, "`any` would let in by an address whom nginx asks for more")


def access_of(nodes: list[Node]) -> list[Access]:
    rules = []
    for node in nodes:
        rules.append(Access(allow=node.name == "allow", network=str(read(node, read_network))))
    return rules


def errors_of(scope: Scope) -> list[ErrorPage]:
    pages = []
    for node in scope.get("error_page", ()):
        *rest, to = node.args or ("",)
        status: int | None = None
        if rest and rest[-1].startswith("="):
            text = rest.pop()[1:]
            status = code_of(node, text) if text else 0
        if not rest or not to.startswith(("/", "@", "http://", "https://", "$")):
            raise Refusal(node, "takes statuses and where to go")
        pages.append(ErrorPage(codes=[code_of(node, code) for code in rest], to=to, status=status))
    return pages


def code_of(node: Node, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) == 3):
        raise Refusal(node, f"'{text}' is no status")
    return int(text)
