"""The directives in force in a block, by nginx's inheritance, and the parsing of a directive's argument."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from ..errors import GladewalkError
from .errors import DirectiveValueError
from .parser import Node

ValueT = TypeVar("ValueT")
# Directives that are inherited as one group: an inner level with one of them replaces the whole outer group.
INHERITANCE_GROUPS = {"allow": "access", "deny": "access", "proxy_pass_header": "proxy_hide_header"}
ACCESS_GROUP = "access"


class DirectiveRefusedError(GladewalkError):
    """A directive cannot be translated; the text gives the reason.

    Attributes:
        node: The directive.
    """

    def __init__(self, node: Node, why: str) -> None:
        super().__init__(why)
        self.node = node


@dataclass(slots=True, frozen=True)
class Scope:
    """The directives in force in a block, by name or inheritance group.

    If a block has directives of a name or group, they replace all directives of that name or group of the
    outer blocks; lists are not merged.
    """

    _directives: dict[str, list[Node]] = field(default_factory=dict)

    def enter(self, block: Iterable[Node]) -> Scope:
        """Returns the scope of a block inside this scope."""
        own: dict[str, list[Node]] = {}
        for node in block:
            own.setdefault(INHERITANCE_GROUPS.get(node.name, node.name), []).append(node)
        return Scope({**self._directives, **own})

    def all(self, name: str) -> list[Node]:
        """Returns the directives of a name or group, in the order of the file."""
        return self._directives.get(name, [])

    def last(self, name: str) -> Node | None:
        """Returns the last directive of a name or group, or None."""
        return self.all(name)[-1] if self.all(name) else None


def single_argument(node: Node) -> str:
    """Returns the only argument of a directive; raises `DirectiveRefusedError`."""
    if len(node.args) != 1:
        raise DirectiveRefusedError(node, f"takes one value, not {len(node.args)}")
    return node.args[0]


def parse_argument(node: Node, parse: Callable[[str], ValueT]) -> ValueT:
    """Parses the only argument of a directive; raises `DirectiveRefusedError`."""
    try:
        return parse(single_argument(node))
    except DirectiveValueError as error:
        raise DirectiveRefusedError(node, str(error)) from error
