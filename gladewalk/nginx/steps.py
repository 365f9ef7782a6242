"""Translates the directives of the rewrite module (ngx_http_rewrite_module) to rows of steps."""

from __future__ import annotations

import re
from collections.abc import Iterable

from .context import TranslationContext
from .parser import Node
from .proxy_settings import parse_status
from .regexes import Regex
from .rewrite import ABSOLUTE_PREFIXES, CONDITION_OPERATORS, REDIRECT_STATUSES
from .scope import DirectiveRefusedError
from .table import StepRow

STEP_DIRECTIVES = ("rewrite", "return", "set", "break", "if")
STEPS_WITHIN_IF = ("rewrite", "return", "set", "break")
REWRITE_FLAGS = ("last", "break", "redirect", "permanent")
VARIABLE_NAME = re.compile(r"\$[A-Za-z_][A-Za-z0-9_]*")
DEFAULT_REDIRECT_STATUS = 302
# Regexes that match every URI, and regexes that match everything that can follow the location's pattern.
MATCH_ALL = ("^", ".*", "^.*", "^.*$", "^(.*)$", "(.*)", "^/", "/", "^/(.*)$", "^/(.*)", "^(.*)")
MATCH_ALL_RESTS = ("", "(.*)", "(.*)$", ".*", ".*$", "/?(.*)", "/?(.*)$")


def translate_steps(block: Iterable[Node], context: TranslationContext) -> list[StepRow]:
    """Translates a block's rewrite directives, in order; refused ones are recorded in `context`."""
    steps: list[StepRow] = []
    for node in block:
        if node.name in STEP_DIRECTIVES:
            context.guard(node, lambda each: steps.append(_translate_step(each, context)))
    return steps


def _translate_step(node: Node, context: TranslationContext) -> StepRow:
    match node.name:
        case "rewrite":
            return _translate_rewrite(node, context)
        case "return":
            return _translate_return(node, context)
        case "set":
            return _translate_set(node, context)
        case "if":
            return _translate_if(node, context)
    return StepRow(op="break", defined_at=node.location)


def _translate_set(node: Node, context: TranslationContext) -> StepRow:
    if len(node.args) != 2 or not VARIABLE_NAME.fullmatch(node.args[0]):
        raise DirectiveRefusedError(node, "takes a variable and a value")
    variable, value = node.args
    return StepRow(
        op="set",
        defined_at=node.location,
        variable=variable.removeprefix("$"),
        value=context.checked_template(value),
    )


def _translate_rewrite(node: Node, context: TranslationContext) -> StepRow:
    if len(node.args) not in (2, 3):
        raise DirectiveRefusedError(node, "takes a regex, a replacement and perhaps a flag")
    regex, replacement, *flags = node.args
    if flags and flags[0] not in REWRITE_FLAGS:
        raise DirectiveRefusedError(node, f"'{flags[0]}' is no flag")
    Regex(regex)
    return StepRow(
        op="rewrite",
        defined_at=node.location,
        regex=regex,
        value=context.checked_template(replacement),
        flag=flags[0] if flags else "",
    )


def _translate_return(node: Node, context: TranslationContext) -> StepRow:
    if len(node.args) == 1 and node.args[0].startswith(ABSOLUTE_PREFIXES):
        status, text = DEFAULT_REDIRECT_STATUS, node.args[0]
    elif len(node.args) in (1, 2):
        status = parse_status(node, node.args[0])
        text = node.args[1] if len(node.args) == 2 else ""
    else:
        raise DirectiveRefusedError(node, "takes a status and perhaps a text or a URL")
    if status in REDIRECT_STATUSES and not text:
        raise DirectiveRefusedError(node, f"{status} without a URL")
    return StepRow(op="return", defined_at=node.location, status=status, value=context.checked_template(text))


def _translate_if(node: Node, context: TranslationContext) -> StepRow:
    condition = list(node.args)
    if condition and condition[0].startswith(("-", "!-")):
        raise DirectiveRefusedError(node, f"'{condition[0]}' tests a file of nginx's own disk")
    if not _is_condition(condition):
        raise DirectiveRefusedError(node, "takes a variable, or a variable, a test and a value")
    context.checked_template(condition[0])
    if len(condition) == 3:
        operator, operand = condition[1:]
        if "~" in operator:
            Regex(operand, operator.endswith("*"))
        else:
            context.checked_template(operand)
    for child in node.children:
        if child.name not in STEPS_WITHIN_IF:
            raise DirectiveRefusedError(
                child, "only return, rewrite, set and break are carried over within if"
            )
    steps = translate_steps(node.children, context)
    return StepRow(op="if", defined_at=node.location, condition=condition, steps=steps)


def _is_condition(words: list[str]) -> bool:
    if len(words) not in (1, 3) or not words[0].startswith("$"):
        return False
    return len(words) == 1 or words[1] in CONDITION_OPERATORS


def ends_every_request(steps: Iterable[StepRow], modifier: str, pattern: str) -> bool:
    """Returns whether the steps end or rewrite every request, so that none would be served from files.

    This is so with a `return`, and with a `rewrite` without `break` whose regex matches every URI.
    """
    return any(
        step.op == "return"
        or (step.op == "rewrite" and step.flag != "break" and _matches_all(step.regex, modifier, pattern))
        for step in steps
    )


def _matches_all(regex: str, modifier: str, pattern: str) -> bool:
    """Returns whether a regex is one of the known forms that match every URI of a location.

    A regex of another form may match every URI too.
    """
    if regex in MATCH_ALL:
        return True
    if modifier not in ("", "^~", "="):
        return False
    for prefix in (pattern, re.escape(pattern)):
        if regex.startswith("^" + prefix):
            return regex[len(prefix) + 1 :] in MATCH_ALL_RESTS
    return False
