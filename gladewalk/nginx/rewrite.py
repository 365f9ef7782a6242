"""The rewrite module's instructions, compiled: `rewrite`, `return`, `set`, `break` and `if` of these alone.

ngx_http_rewrite_module. What is done within `if` is bounded to these, so that its block never needs to be a
location of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

from .regexes import Regex
from .table import Step
from .uri import ESCAPED_ARGS, escape
from .variables import CAPTURE, State, Template, read_template

REDIRECTS = (301, 302, 303, 307, 308)


@dataclass(slots=True, frozen=True)
class Reply:
    """An answer that is made here. `location`: as the rule has it, perhaps only a path."""

    status: int
    text: str = ""
    location: str = ""


@dataclass(slots=True)
class Course:
    """What the instructions of one phase have come to."""

    reply: Reply | None = None
    stopped: bool = False  # no further instruction of this phase
    changed: bool = False  # the URI was: its location is sought anew
    whole: bool = False  # `rewrite ... break`: proxy_pass replaces no prefix


class Rule:
    step: Step

    def run(self, state: State, course: Course) -> None:
        raise NotImplementedError


def run_rules(rules: tuple[Rule, ...], state: State, trace: list[str] | None) -> Course:
    course = Course()
    _run(rules, state, course, trace)
    return course


def _run(rules: tuple[Rule, ...], state: State, course: Course, trace: list[str] | None) -> None:
    for rule in rules:
        before = state.uri
        rule.run(state, course)
        if trace is not None and (state.uri != before or course.reply or course.stopped):
            turned = f" -> {state.uri}" if state.uri != before else ""
            trace.append(f"  {rule.step.op}{turned}  [{rule.step.at}]")
        if course.stopped or course.reply is not None:
            return


@dataclass(slots=True)
class Rewrite(Rule):
    step: Step
    regex: Regex
    path: Template
    args: Template | None  # behind a `?` of the replacement
    keep_args: bool  # the request's own are put behind
    redirect: int  # a status, or 0

    def run(self, state: State, course: Course) -> None:
        matched = self.regex.match(state.uri)
        if matched is None:
            return
        state.captured(*matched)
        if self.redirect:
            where = filled(self.path, state, True)
            if self.args is not None:
                where += "?" + filled(self.args, state, True)
            if self.keep_args and state.args:
                where += ("&" if self.args is not None else "?") + state.args
            course.reply = Reply(self.redirect, location=where)
            return
        state.uri, before = self.path.fill(state), state.args
        if self.args is not None:
            state.args = filled(self.args, state, True)
            if self.keep_args and before:
                state.args += "&" + before
        elif not self.keep_args:
            state.args = ""
        if not state.uri:
            course.reply = Reply(500)
            return
        state.internal, state.unparsed = True, False
        course.stopped = self.step.flag in ("last", "break")
        course.changed = self.step.flag != "break"
        course.whole = course.whole or self.step.flag == "break"


def filled(template: Template, state: State, in_args: bool) -> str:
    """As nginx fills a redirect or a query: what was captured of an encoded URI is encoded anew."""
    if template.plain or not (in_args and state.request.target.quoted):
        return template.fill(state)
    parts = []
    for number, part in enumerate(template.parts):
        value = state.value(part) if number % 2 else part
        parts.append(escape(value, ESCAPED_ARGS) if number % 2 and CAPTURE.match(part) else value)
    return "".join(parts)


@dataclass(slots=True)
class Return(Rule):
    step: Step
    to: Template

    def run(self, state: State, course: Course) -> None:
        text = self.to.fill(state)
        if self.step.code in REDIRECTS:
            course.reply = Reply(self.step.code, location=text)
        else:
            course.reply = Reply(self.step.code, text)


@dataclass(slots=True)
class Set(Rule):
    step: Step
    to: Template

    def run(self, state: State, course: Course) -> None:
        state.own[self.step.name] = self.to.fill(state)


@dataclass(slots=True)
class Break(Rule):
    step: Step

    def run(self, state: State, course: Course) -> None:
        course.stopped, course.changed = True, False


@dataclass(slots=True)
class If(Rule):
    step: Step
    value: Template
    word: str  # "", "=", "!=", "~", "~*", "!~", "!~*"
    other: Template | None
    regex: Regex | None
    then: tuple[Rule, ...]

    def run(self, state: State, course: Course) -> None:
        if self._holds(state):
            _run(self.then, state, course, None)

    def _holds(self, state: State) -> bool:
        value = self.value.fill(state)
        if self.regex is not None:
            matched = self.regex.match(value)
            if matched is not None:
                state.captured(*matched)
            return (matched is None) == self.word.startswith("!")
        if self.other is None:
            return value not in ("", "0")
        return (value == self.other.fill(state)) == (self.word == "=")


TESTS = ("=", "!=", "~", "~*", "!~", "!~*")


def compile_steps(steps: list[Step], own: frozenset[str]) -> tuple[Rule, ...]:
    """`ValueError` (a bad regex, an unknown variable) for a row that cannot be."""
    return tuple(compile_step(step, own) for step in steps)


def compile_step(step: Step, own: frozenset[str]) -> Rule:
    match step.op:
        case "rewrite":
            return compile_rewrite(step, own)
        case "return":
            return Return(step, read_template(step.to, own))
        case "set":
            return Set(step, read_template(step.to, own))
        case "break":
            return Break(step)
        case "if":
            return compile_if(step, own)
    raise ValueError(f"no such step: {step.op}")


def compile_rewrite(step: Step, own: frozenset[str]) -> Rewrite:
    regex = Regex(step.regex)
    to, keep_args = step.to, True
    if to.endswith("?"):
        to, keep_args = to[:-1], False
    away = to.startswith(("http://", "https://", "$scheme"))
    redirect = {"permanent": 301, "redirect": 302}.get(step.flag, 302 if away else 0)
    path, question, args = to.partition("?")
    names = own | frozenset(regex.names)
    return Rewrite(
        step, regex, read_template(path, names), read_template(args, names) if question else None, keep_args,
        redirect,
    )  # fmt: skip


def compile_if(step: Step, own: frozenset[str]) -> If:
    value, *rest = step.test
    word, text = (rest[0], rest[1]) if rest else ("", "")
    if word and word not in TESTS:
        raise ValueError(f"'{word}' is no test that can be made here")
    is_regex = "~" in word
    regex = Regex(text, word.endswith("*")) if is_regex else None
    other = read_template(text, own) if word and not is_regex else None
    names = own | frozenset(regex.names if regex is not None else ())
    return If(step, read_template(value, own), word, other, regex, compile_steps(step.then, names))
