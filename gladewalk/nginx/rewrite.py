"""Compiles and executes the instructions of ngx_http_rewrite_module.

These are `rewrite`, `return`, `set`, `break` and `if`. An `if` block may contain only the first four. nginx
treats an `if` block as a separate location; the restriction makes that unnecessary here.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .errors import RewriteStepError
from .regexes import Regex
from .table import StepRow
from .uri import ESCAPED_IN_ARGS, percent_encode
from .variables import CAPTURE, RequestState, Template, parse_template

REDIRECT_STATUSES = (301, 302, 303, 307, 308)
CONDITION_OPERATORS = ("=", "!=", "~", "~*", "!~", "!~*")
ABSOLUTE_PREFIXES = ("http://", "https://", "$scheme")  # a replacement with such a prefix is a redirect
FLAG_REDIRECTS = {"permanent": 301, "redirect": 302}


@dataclass(slots=True, frozen=True)
class LocalResponse:
    """A response that is sent without an upstream; `location` is the redirect target, a URL or a path."""

    status: int
    text: str = ""
    location: str = ""


@dataclass(slots=True)
class RewriteOutcome:
    """The outcome of the instructions of one phase.

    Attributes:
        response: The response that ends the request; None if the request continues to the next phase.
        is_stopped: Whether the remaining instructions of this phase are skipped.
        is_uri_changed: Whether the location search must be repeated.
        is_uri_final: Whether a `rewrite ... break` set the URI, so that `proxy_pass` replaces no prefix.
    """

    response: LocalResponse | None = None
    is_stopped: bool = False
    is_uri_changed: bool = False
    is_uri_final: bool = False


class Instruction(Protocol):
    """A compiled step."""

    @property
    def row(self) -> StepRow:
        """The table row that the step was compiled from."""

    def execute(self, state: RequestState, outcome: RewriteOutcome) -> None:
        """Executes the step."""


def execute_instructions(
    instructions: Sequence[Instruction], state: RequestState, trace: list[str] | None
) -> RewriteOutcome:
    """Executes the instructions of one phase in order.

    Each instruction that changes the URI, sets a response or ends the phase adds a line to `trace`.
    """
    outcome = RewriteOutcome()
    _execute_all(instructions, state, outcome, trace)
    return outcome


def _execute_all(
    instructions: Sequence[Instruction],
    state: RequestState,
    outcome: RewriteOutcome,
    trace: list[str] | None,
) -> None:
    for instruction in instructions:
        previous_uri = state.uri
        instruction.execute(state, outcome)
        is_changed = state.uri != previous_uri
        if trace is not None and (is_changed or outcome.response or outcome.is_stopped):
            change = f" -> {state.uri}" if is_changed else ""
            trace.append(f"  {instruction.row.op}{change}  [{instruction.row.defined_at}]")
        if outcome.is_stopped or outcome.response is not None:
            return


@dataclass(slots=True)
class Rewrite:
    """`rewrite`: replaces the URI, or redirects.

    Attributes:
        path: The replacement up to its first `?`.
        args: The replacement after its first `?`; None without a `?`.
        keeps_args: Whether the query of the request is kept, after `args` if there are any.
        redirect_status: The status of the redirect; 0 for an internal rewrite.
    """

    row: StepRow
    regex: Regex
    path: Template
    args: Template | None
    keeps_args: bool
    redirect_status: int

    def execute(self, state: RequestState, outcome: RewriteOutcome) -> None:
        """Rewrites the URI if the regex matches."""
        matched = self.regex.match(state.uri)
        if matched is None:
            return
        state.set_captures(matched)
        if self.redirect_status:
            outcome.response = LocalResponse(self.redirect_status, location=self._redirect_target(state))
            return
        self._replace_uri(state)
        if not state.uri:
            outcome.response = LocalResponse(500)
            return
        state.is_internal, state.is_uri_unchanged = True, False
        outcome.is_stopped = self.row.flag in ("last", "break")
        outcome.is_uri_changed = self.row.flag != "break"
        outcome.is_uri_final = outcome.is_uri_final or self.row.flag == "break"

    def _redirect_target(self, state: RequestState) -> str:
        target = render_encoded(self.path, state)
        if self.args is not None:
            target += "?" + render_encoded(self.args, state)
        if self.keeps_args and state.args:
            target += ("&" if self.args is not None else "?") + state.args
        return target

    def _replace_uri(self, state: RequestState) -> None:
        state.uri, previous_args = self.path.render(state), state.args
        if self.args is not None:
            state.args = render_encoded(self.args, state)
            if self.keeps_args and previous_args:
                state.args += "&" + previous_args
        elif not self.keeps_args:
            state.args = ""


def render_encoded(template: Template, state: RequestState) -> str:
    """Renders a redirect or a query as nginx does.

    If the request's URI was percent-encoded, the values of captures are percent-encoded again.
    """
    if template.is_constant or not state.request.target.is_encoded:
        return template.render(state)
    rendered = []
    for index, part in enumerate(template.parts):
        value = state.value(part) if index % 2 else part
        is_capture = index % 2 and CAPTURE.match(part)
        rendered.append(percent_encode(value, ESCAPED_IN_ARGS) if is_capture else value)
    return "".join(rendered)


@dataclass(slots=True)
class Return:
    """`return`: responds with a redirect or a text."""

    row: StepRow
    value: Template

    def execute(self, state: RequestState, outcome: RewriteOutcome) -> None:
        """Sets the response."""
        text = self.value.render(state)
        if self.row.status in REDIRECT_STATUSES:
            outcome.response = LocalResponse(self.row.status, location=text)
        else:
            outcome.response = LocalResponse(self.row.status, text)


@dataclass(slots=True)
class Set:
    """`set`: sets a variable."""

    row: StepRow
    value: Template

    def execute(self, state: RequestState, outcome: RewriteOutcome) -> None:
        """Sets the variable."""
        state.variables[self.row.variable] = self.value.render(state)


@dataclass(slots=True)
class Break:
    """`break`: ends this phase."""

    row: StepRow

    def execute(self, state: RequestState, outcome: RewriteOutcome) -> None:
        """Ends the phase; a URI that an earlier step changed is kept without a new location search."""
        outcome.is_stopped, outcome.is_uri_changed = True, False


@dataclass(slots=True)
class If:
    """`if`: executes instructions under a condition.

    Attributes:
        operator: One of `CONDITION_OPERATORS`, or "" for the test that the value is neither empty nor "0".
        operand: The string that `=` and `!=` compare the value with; None for the other operators.
        regex: The pattern that the other operators match the value with; None for `=`, `!=` and "".
    """

    row: StepRow
    value: Template
    operator: str
    operand: Template | None
    regex: Regex | None
    instructions: tuple[Instruction, ...]

    def execute(self, state: RequestState, outcome: RewriteOutcome) -> None:
        """Executes the instructions if the condition holds."""
        if self._holds(state):
            _execute_all(self.instructions, state, outcome, None)

    def _holds(self, state: RequestState) -> bool:
        value = self.value.render(state)
        if self.regex is not None:
            matched = self.regex.match(value)
            if matched is not None:
                state.set_captures(matched)
            return (matched is None) == self.operator.startswith("!")
        if self.operand is None:
            return value not in ("", "0")
        return (value == self.operand.render(state)) == (self.operator == "=")


def compile_steps(rows: Sequence[StepRow], custom: frozenset[str]) -> tuple[Instruction, ...]:
    """Compiles steps; `custom` are the variables that the configuration file defines.

    Raises:
        RoutingTableError: A row cannot be used.
    """
    return tuple(_compile_step(row, custom) for row in rows)


def _compile_step(row: StepRow, custom: frozenset[str]) -> Instruction:
    match row.op:
        case "rewrite":
            return _compile_rewrite(row, custom)
        case "return":
            return Return(row, parse_template(row.value, custom))
        case "set":
            return Set(row, parse_template(row.value, custom))
        case "break":
            return Break(row)
        case "if":
            return _compile_if(row, custom)
    raise RewriteStepError(f"no such step: {row.op}")


def _compile_rewrite(row: StepRow, custom: frozenset[str]) -> Rewrite:
    regex = Regex(row.regex)
    keeps_args = not row.value.endswith("?")
    replacement = row.value if keeps_args else row.value[:-1]
    default_status = 302 if replacement.startswith(ABSOLUTE_PREFIXES) else 0
    path, question_mark, args = replacement.partition("?")
    names = custom | frozenset(regex.names)
    return Rewrite(
        row,
        regex,
        parse_template(path, names),
        parse_template(args, names) if question_mark else None,
        keeps_args,
        FLAG_REDIRECTS.get(row.flag, default_status),
    )


def _compile_if(row: StepRow, custom: frozenset[str]) -> If:
    value, *rest = row.condition
    operator, operand = (rest[0], rest[1]) if rest else ("", "")
    if operator and operator not in CONDITION_OPERATORS:
        raise RewriteStepError(f"'{operator}' is no test that can be made here")
    is_regex = "~" in operator
    regex = Regex(operand, operator.endswith("*")) if is_regex else None
    names = custom | frozenset(regex.names if regex is not None else ())
    return If(
        row,
        parse_template(value, custom),
        operator,
        parse_template(operand, custom) if operator and not is_regex else None,
        regex,
        compile_steps(row.steps, names),
    )
