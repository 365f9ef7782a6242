"""Conformance cases: each states its RFC and section, and the required behaviour of a server."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .target import Target

Check = Callable[[Target], None]


@dataclass(slots=True, frozen=True)
class Case:
    """One conformance case.

    Attributes:
        name: Unique and permanent: scripts and reports refer to it.
        rfc: Number of the RFC.
        section: Section of the RFC; empty: the whole RFC.
        description: The required behaviour of a server.
        check: Returns if the server passes; otherwise raises `CheckFailedError` or `CheckSkippedError`.
    """

    name: str
    rfc: int
    section: str
    description: str
    check: Check


class CaseRegistry:
    """The cases of one module, in the order in which they were added."""

    def __init__(self) -> None:
        self._cases: list[Case] = []

    def __iter__(self) -> Iterator[Case]:
        return iter(self._cases)

    def add(self, name: str, rfc: int, section: str, description: str, check: Check) -> None:
        """Adds a case."""
        self._cases.append(Case(name, rfc, section, description, check))

    def case(self, rfc: int, section: str) -> Callable[[Check], Check]:
        """Adds the decorated check as a case named after it and described by its docstring's first line."""

        def register(check: Check) -> Check:
            description = (check.__doc__ or "").strip().split("\n")[0]
            self.add(check.__name__.replace("_", "-"), rfc, section, description, check)
            return check

        return register
