"""The rewrite module's instructions, compiled: `rewrite`, `return`, `set`, `break`, and `if` of these alone.

ngx_http_rewrite_module. What may stand within `if` is restricted to these, so that its block never needs to
be a location of its own.
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
ABSOLUTE_PREFIXES = ("http://", "https://", "$scheme")  # a replacement that begins so is a redirect
FLAG_REDIRECTS = {"permanent": 301, "redirect": 302}


@dataclass(slots=True, frozen=True)
class LocalResponse:
    """A response without an upstream; `location`, perhaps only a path, is the target of a redirect."""

    status: int
    text: str = ""
    location: str = ""


@dataclass(slots=True)
class RewriteOutcome:
    """What the instructions of one phase have come to.

    Attributes:
        response: The response that ends the request here.
        is_stopped: Whether no further instruction of this phase is executed.
        is_uri_changed: Whether the location is searched anew.
        is_uri_final: Whether `proxy_pass` replaces no prefix (`rewrite ... break`).
    """

    response: LocalResponse | None = None
    is_stopped: bool = False
    is_uri_changed: bool = False
    is_uri_final: bool = False


class Instruction(Protocol):
    """A compiled step."""

    @property
    def row(self) -> StepRow:
        """The step's row."""

    def execute(self, state: RequestState, outcome: RewriteOutcome) -> None:
        """Executes the step."""


def execute_instructions(
    instructions: Sequence[Instruction], state: RequestState, trace: list[str] | None
) -> RewriteOutcome:
    """Executes the instructions of one phase in order; each that takes effect adds a line to `trace`."""
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
        args: What stands behind a `?` of the replacement.
        keeps_args: Whether the request's own query is appended.
        redirect_status: 0 for an internal rewrite.
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
    """Renders a redirect or a query as nginx does: captures of an encoded URI are encoded again."""
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
    """`return`: a redirect, or a response with a text."""

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
        """Stops the phase; the URI stays as it is."""
        outcome.is_stopped, outcome.is_uri_changed = True, False


@dataclass(slots=True)
class If:
    """`if`: executes instructions under a condition.

    Attributes:
        operator: One of `CONDITION_OPERATORS`, or "": the value is neither empty nor 0.
        operand: What the value is compared with by `=` and `!=`.
        regex: What it is matched with by the others.
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
    """Compiles steps; `custom` are the variables that the file itself defines.

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
