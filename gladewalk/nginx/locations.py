"""Locations: their kinds, what they pass on or answer, and the steps of the rewrite module in them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from .parser import Node
from .proxy_settings import Refusal, Scope, access_of, check_satisfy, code_of, errors_of, narrowed, terms_of
from .regexes import BadRegex
from .rewrite import REDIRECTS, TESTS
from .table import Box, Place, Step, Upstream
from .upstreams import read_pass
from .values import BadValue, read_endpoint
from .variables import UnknownVariable

if TYPE_CHECKING:
    from .translate import Translator

STEPS = ("rewrite", "return", "set", "break", "if")
ALWAYS = ("^", ".*", "^.*", "^.*$", "^(.*)$", "(.*)", "^/", "/", "^/(.*)$", "^/(.*)", "^(.*)")
REST = ("", "(.*)", "(.*)$", ".*", ".*$", "/?(.*)", "/?(.*)$")
KINDS = ("^~", "~*", "~", "=", "@")
TARGETLESS = "serves files of nginx's own disk, or nothing (--allow files answers 404)"


class Locations:
    """The part of `Translator` that goes through servers' and locations' blocks."""

    def __init__(self, translator: Translator) -> None:
        self.t = translator

    def level(self, block: tuple[Node, ...], scope: Scope, outer: tuple[str, str] | None) -> list[Place]:
        """The locations that stand in a block; `outer` is the kind and pattern of the one around them."""
        places: list[Place] = []
        seen: set[tuple[str, str]] = set()
        for node in block:
            if node.name != "location":
                continue
            try:
                kind, pattern = kind_of(node)
                self._check(node, kind, pattern, outer)
                slot = ("" if kind == "^~" else kind, pattern)
                if kind not in ("~", "~*") and slot in seen:
                    raise Refusal(node, f"duplicate location '{pattern}'")
                seen.add(slot)
                places.append(self._location(node, kind, pattern, scope))
            except Refusal as error:
                self.t.refuse(error.node, str(error))
            except (BadValue, BadRegex, UnknownVariable) as error:
                self.t.refuse(node, str(error))
        return places

    def _check(self, node: Node, kind: str, pattern: str, outer: tuple[str, str] | None) -> None:
        """What nginx itself does not take."""
        if kind in ("~", "~*"):
            self.t.regex(node, pattern, kind == "~*")
        elif not pattern.startswith(("/", "@")) and kind != "":
            raise Refusal(node, f"'{pattern}' fits no URI")
        if outer is None:
            return
        if outer[0] in ("=", "@") or kind == "@":
            raise Refusal(
                node, "nginx takes no location within an exact or a named one, and no named one within"
            )
        if kind not in ("~", "~*") and not pattern.startswith(outer[1]):
            raise Refusal(node, f"'{pattern}' is outside location '{outer[1]}'")

    def _location(self, node: Node, kind: str, pattern: str, outer: Scope) -> Place:
        block = node.block or ()
        scope = narrowed(outer, block)
        passes = [inner for inner in block if inner.name == "proxy_pass"]
        upstream, uri = "", None
        if passes:
            upstream, uri = self._passed(passes[-1], kind)
            if len(passes) > 1:
                raise Refusal(passes[-1], "a second one in this location")
        steps = self.steps(block)
        access = access_of(scope.get("access", []))
        excepts = [inner for inner in block if inner.name == "limit_except"]
        methods, methods_access = self._excepted(excepts, scope) if excepts else ([], [])
        places = self.level(block, scope, (kind, pattern))
        denied = bool(access) and not access[0].allow and access[0].network == "all"
        fallback = self._fallback(block)
        if not passes and not fallback and not ends(steps, kind, pattern) and not denied:
            self.t.refuse(node, TARGETLESS, "files")
        for found in (inner for inner in block if inner.name == "satisfy"):
            check_satisfy(found)
        terms = terms_of(scope)
        for _, value, *_ in (*terms.set_fields, *terms.add_fields):
            self.t.template(node, value)
        if terms.key:
            self.t.template(node, terms.key)
        return Place(
            at=node.where, kind=kind, pattern=pattern, upstream=upstream, uri=uri, steps=steps, access=access,
            methods=methods, methods_access=methods_access,
            internal=any(inner.name == "internal" for inner in block), fallback=fallback, terms=terms,
            errors=errors_of(scope), places=places,
        )  # fmt: skip

    def _fallback(self, block: tuple[Node, ...]) -> str:
        """Where an accepted `try_files` leads once none of its files is there."""
        for node in block:
            if node.name == "try_files" and node.name in self.t.allowed:
                if len(node.args) < 2 or not node.args[-1].startswith(("@", "/", "=")):
                    raise Refusal(node, "takes files and where to go without them")
                if node.args[-1].startswith("="):
                    code_of(node, node.args[-1][1:])
                return self.t.template(node, node.args[-1])
        return ""

    def _excepted(self, nodes: list[Node], scope: Scope) -> tuple[list[str], list]:  # type: ignore[type-arg]
        node = nodes[0]
        if len(nodes) > 1 or not node.args:
            raise Refusal(nodes[-1], "takes methods, once in a location")
        block = node.block or ()
        for inner in block:
            if inner.name not in ("allow", "deny"):
                raise Refusal(inner, "only allow and deny are carried over in limit_except")
        return [method.upper() for method in node.args], access_of(narrowed(scope, block).get("access", []))

    # proxy_pass.

    def _passed(self, node: Node, kind: str) -> tuple[str, str | None]:
        try:
            passed = read_pass(node)
            if passed.upstream.startswith("$"):
                self._chosen(node, passed.upstream.strip("${}"))
            else:
                self._named(node, passed.upstream)
            if passed.uri is not None:
                self.t.template(node, passed.uri)
                if kind in ("~", "~*", "@") and "$" not in passed.uri + passed.upstream:
                    raise Refusal(node, "nginx takes no URI here: the location is a regex or named")
        except (BadValue, UnknownVariable) as error:
            raise Refusal(node, str(error)) from error
        return passed.upstream, passed.uri

    def _named(self, node: Node, name: str) -> None:
        """An upstream of the file, or a literal address, which is an upstream of one server."""
        if name in self.t.upstreams:
            return
        try:
            address = read_endpoint(name)
        except BadValue as error:
            raise Refusal(
                node, f"'{name}' is no upstream of this file, and names are not looked up"
            ) from error
        box = Box(address=address, at=node.where, max_fails=0)
        self.t.upstreams[name] = Upstream(name=name, at=node.where, boxes=[box])

    def _chosen(self, node: Node, variable: str) -> None:
        """A variable may choose among upstreams whose names are all known beforehand."""
        values = self.t.choices.get(variable)
        if values is None:
            raise Refusal(node, f"${variable}: which upstream that is can't be known beforehand")
        for value in values:
            if "$" in value:
                raise Refusal(node, f"${variable} may be '{value}', which can't be known beforehand")
            if value:
                self._named(node, value)
            else:
                self.t.note(node, f"${variable} may be empty: then 502, as nginx says 500")

    # The rewrite module.

    def steps(self, block: tuple[Node, ...]) -> list[Step]:
        found: list[Step] = []
        for node in block:
            if node.name in STEPS:
                self.t.guard(node, lambda each: found.append(self._step(each)))
        return found

    def _step(self, node: Node) -> Step:
        match node.name:
            case "rewrite":
                return self._rewrite(node)
            case "return":
                return self._return(node)
            case "set":
                if len(node.args) != 2 or not re.fullmatch(r"\$[A-Za-z_][A-Za-z0-9_]*", node.args[0]):
                    raise Refusal(node, "takes a variable and a value")
                return Step(
                    op="set", at=node.where, name=node.args[0][1:], to=self.t.template(node, node.args[1])
                )
            case "if":
                return self._if(node)
        return Step(op="break", at=node.where)

    def _rewrite(self, node: Node) -> Step:
        if len(node.args) not in (2, 3):
            raise Refusal(node, "takes a regex, a replacement and perhaps a flag")
        regex, to, *flag = node.args
        if flag and flag[0] not in ("last", "break", "redirect", "permanent"):
            raise Refusal(node, f"'{flag[0]}' is no flag")
        self.t.regex(node, regex)
        self.t.template(node, to)
        return Step(op="rewrite", at=node.where, regex=regex, to=to, flag=flag[0] if flag else "")

    def _return(self, node: Node) -> Step:
        if len(node.args) == 1 and node.args[0].startswith(("http://", "https://", "$scheme")):
            return Step(op="return", at=node.where, code=302, to=self.t.template(node, node.args[0]))
        if len(node.args) not in (1, 2):
            raise Refusal(node, "takes a status and perhaps a text or a URL")
        code, text = code_of(node, node.args[0]), node.args[1] if len(node.args) == 2 else ""
        if code in REDIRECTS and not text:
            raise Refusal(node, f"{code} without a URL")
        return Step(op="return", at=node.where, code=code, to=self.t.template(node, text))

    def _if(self, node: Node) -> Step:
        test = list(node.args)
        if test and test[0].startswith(("-", "!-")):
            raise Refusal(node, f"'{test[0]}' tests a file of nginx's own disk")
        if (
            len(test) not in (1, 3)
            or not test[0].startswith("$")
            or (len(test) == 3 and test[1] not in TESTS)
        ):
            raise Refusal(node, "takes a variable, or a variable, a test and a value")
        self.t.template(node, test[0])
        if len(test) == 3 and "~" in test[1]:
            self.t.regex(node, test[2], test[1].endswith("*"))
        elif len(test) == 3:
            self.t.template(node, test[2])
        for inner in node.block or ():
            if inner.name not in ("rewrite", "return", "set", "break"):
                raise Refusal(inner, "only return, rewrite, set and break are carried over within if")
        return Step(op="if", at=node.where, test=test, then=self.steps(node.block or ()))


def kind_of(node: Node) -> tuple[str, str]:
    """A location's kind and pattern, whether they stand apart or as one word."""
    if len(node.args) == 2:
        kind, pattern = node.args
        if kind not in ("=", "^~", "~", "~*"):
            raise Refusal(node, f"'{kind}' is no kind of location")
        return kind, pattern
    if len(node.args) != 1 or not node.args[0]:
        raise Refusal(node, "takes a pattern")
    text = node.args[0]
    for kind in KINDS:
        if text.startswith(kind):
            return kind, text if kind == "@" else text[len(kind) :]
    return "", text


def ends(steps: list[Step], kind: str, pattern: str) -> bool:
    """Whether the steps let no request through to files: a return, or a rewrite of every URI."""
    return any(
        step.op == "return"
        or (step.op == "rewrite" and step.flag != "break" and fits_all(step.regex, kind, pattern))
        for step in steps
    )


def fits_all(regex: str, kind: str, pattern: str) -> bool:
    """Whether a regex surely matches every URI of a location: told by its form alone."""
    if regex in ALWAYS:
        return True
    for begin in (pattern, re.escape(pattern)) if kind in ("", "^~", "=") else ():
        if regex.startswith("^" + begin):
            return regex[len(begin) + 1 :] in REST
    return False
