"""The directives in force at a place of the file, with nginx's inheritance; reading one directive's value."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from ..errors import GladewalkError
from .errors import DirectiveValueError
from .parser import Node

ValueT = TypeVar("ValueT")
# Directives that replace one another when an inner level has one of them.
INHERITANCE_GROUPS = {"allow": "access", "deny": "access", "proxy_pass_header": "proxy_hide_header"}
ACCESS_GROUP = "access"


class DirectiveRefusedError(GladewalkError):
    """A directive cannot be translated; the text says why.

    Attributes:
        node: The directive.
    """

    def __init__(self, node: Node, why: str) -> None:
        super().__init__(why)
        self.node = node


@dataclass(slots=True, frozen=True)
class Scope:
    """The directives in force at a place, by name or inheritance group.

    What a level has of its own replaces all that an outer one has, lists too.
    """

    _directives: dict[str, list[Node]] = field(default_factory=dict)

    def enter(self, block: Iterable[Node]) -> Scope:
        """Returns the scope within a block."""
        own: dict[str, list[Node]] = {}
        for node in block:
            own.setdefault(INHERITANCE_GROUPS.get(node.name, node.name), []).append(node)
        return Scope({**self._directives, **own})

    def all(self, name: str) -> list[Node]:
        """Returns the directives of a name or group, in the order of the file."""
        return self._directives.get(name, [])

    def last(self, name: str) -> Node | None:
        """Returns the last directive of a name or group."""
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
