"""The interface to the translation of a whole file that the translators of single blocks use."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from .parser import Node
from .table import UpstreamRow


class TranslationContext(Protocol):
    """The translation of one file: its settings, the results so far, and the recording of refusals."""

    @property
    def allowed(self) -> frozenset[str]:
        """The directives whose loss the operator accepts."""

    @property
    def upstreams(self) -> dict[str, UpstreamRow]:
        """The upstreams so far, by name; each literal address in a `proxy_pass` is added as an upstream."""

    @property
    def choices(self) -> Mapping[str, list[str]]:
        """All possible values of a variable, by its name, for the variables whose values are known."""

    def refuse(self, node: Node, why: str, name: str = "") -> None:
        """Records that a directive cannot be translated, as a loss if that is allowed, else as an error.

        The loss is allowed if `allowed` has `name`, by default the directive's name.
        """

    def note(self, node: Node, text: str) -> None:
        """Records a difference between nginx's behaviour and the table's."""

    def guard(self, node: Node, translate: Callable[[Node], None]) -> None:
        """Translates one directive; an error that `translate` raises is recorded as a refusal."""

    def checked_template(self, text: str) -> str:
        """Returns a string with variables unchanged; raises `UnknownVariableError` if it is invalid."""
