"""What the translators of single blocks need of the translation as a whole."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from .parser import Node
from .table import UpstreamRow


class TranslationContext(Protocol):
    """A translation of one file, as the translators of its blocks see it."""

    @property
    def allowed(self) -> frozenset[str]:
        """The directives whose loss the operator accepts."""

    @property
    def upstreams(self) -> dict[str, UpstreamRow]:
        """The upstreams that are known so far, by name; literal addresses are added as they are met."""

    @property
    def choices(self) -> Mapping[str, list[str]]:
        """All values that a variable can have, for those of which that is known."""

    def refuse(self, node: Node, why: str, name: str = "") -> None:
        """Notes that a directive cannot be translated, or its loss if that is allowed.

        The loss is allowed under `name`, by default the directive's own.
        """

    def note(self, node: Node, text: str) -> None:
        """Notes what is done in another way than by nginx."""

    def guard(self, node: Node, translate: Callable[[Node], None]) -> None:
        """Translates one directive; an error within it is noted as a refusal."""

    def checked_template(self, text: str) -> str:
        """Returns a string with variables as it is; raises `UnknownVariableError`."""
