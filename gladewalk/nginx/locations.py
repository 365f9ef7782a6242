"""Translates `location` blocks: patterns, upstreams, local responses and nested locations."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .context import TranslationContext
from .errors import DirectiveValueError, RoutingTableError, UnknownVariableError
from .parser import Node
from .proxy_settings import (
    check_satisfy,
    parse_status,
    translate_access,
    translate_error_pages,
    translate_proxy_settings,
)
from .regexes import Regex
from .scope import ACCESS_GROUP, DirectiveRefusedError, Scope
from .steps import ends_every_request, translate_steps
from .table import AccessRow, LocationRow, ProxySettings, UpstreamRow, UpstreamServerRow
from .upstreams import parse_proxy_pass
from .values import parse_server_address

REGEX_MODIFIERS = ("~", "~*")
MODIFIERS = ("=", "^~", *REGEX_MODIFIERS)
ATTACHED_MODIFIERS = ("^~", "~*", "~", "=", "@")
NO_TARGET = "serves files of nginx's own disk, or nothing (--allow files answers 404)"
FILES = "files"  # the `--allow` name for a location without a target, which then responds with 404


class LocationPattern(NamedTuple):
    """A location's pattern with its modifier, as in `LocationRow`."""

    modifier: str
    pattern: str

    @property
    def is_regex(self) -> bool:
        """Whether the pattern is a regex."""
        return self.modifier in REGEX_MODIFIERS

    @property
    def identity(self) -> LocationPattern:
        """The key that must be unique among the locations of one level; `^~` counts as a plain prefix."""
        return LocationPattern("", self.pattern) if self.modifier == "^~" else self


class LocationTranslator:
    """Translates the locations of servers."""

    def __init__(self, context: TranslationContext) -> None:
        self._context = context

    def translate_level(
        self, block: Iterable[Node], scope: Scope, enclosing: LocationPattern | None = None
    ) -> list[LocationRow]:
        """Translates the locations of a block; refused directives are recorded in the context.

        Args:
            block: The directives of a server or location.
            scope: The directives in force in the block.
            enclosing: The pattern of the enclosing location; None directly in a server.
        """
        rows: list[LocationRow] = []
        seen: set[LocationPattern] = set()
        for node in block:
            if node.name != "location":
                continue
            try:
                row = self._translate(node, scope, enclosing, seen)
            except DirectiveRefusedError as error:
                self._context.refuse(error.node, str(error))
            except RoutingTableError as error:
                self._context.refuse(node, str(error))
            else:
                rows.append(row)
        return rows

    def _translate(
        self, node: Node, outer: Scope, enclosing: LocationPattern | None, seen: set[LocationPattern]
    ) -> LocationRow:
        """Translates one location.

        `seen` has the identities of the earlier locations of the same level; this location's is added.
        """
        pattern = parse_pattern(node)
        _check_pattern(node, pattern, enclosing)
        if not pattern.is_regex and pattern.identity in seen:
            raise DirectiveRefusedError(node, f"duplicate location '{pattern.pattern}'")
        seen.add(pattern.identity)
        scope = outer.enter(node.children)
        upstream, uri = self._translate_proxy_pass(node, pattern)
        steps = translate_steps(node.children, self._context)
        access = translate_access(scope.all(ACCESS_GROUP))
        excepted_methods, excepted_access = _translate_limit_except(node, scope)
        nested = self.translate_level(node.children, scope, pattern)
        fallback = self._translate_try_files(node)
        has_target = upstream or fallback or ends_every_request(steps, pattern.modifier, pattern.pattern)
        if not has_target and not _denies_all(access):
            self._context.refuse(node, NO_TARGET, FILES)
        for child in node.children:
            if child.name == "satisfy":
                check_satisfy(child)
        return LocationRow(
            defined_at=node.location,
            modifier=pattern.modifier,
            pattern=pattern.pattern,
            upstream=upstream,
            uri=uri,
            steps=steps,
            access=access,
            excepted_methods=excepted_methods,
            excepted_access=excepted_access,
            is_internal=any(child.name == "internal" for child in node.children),
            fallback=fallback,
            proxy=self._translate_proxy_settings(scope),
            error_pages=translate_error_pages(scope),
            locations=nested,
        )

    def _translate_proxy_settings(self, scope: Scope) -> ProxySettings:
        proxy = translate_proxy_settings(scope)
        for _, value, *_ in (*proxy.set_fields, *proxy.add_fields):
            self._context.checked_template(value)
        if proxy.cache_key:
            self._context.checked_template(proxy.cache_key)
        return proxy

    def _translate_try_files(self, node: Node) -> str:
        """Returns the last argument of an allowed `try_files`, "" without one.

        nginx uses the last argument if none of the files exists; the import assumes that none exists.
        """
        for child in node.children:
            if child.name == "try_files" and child.name in self._context.allowed:
                if len(child.args) < 2 or not child.args[-1].startswith(("@", "/", "=")):
                    raise DirectiveRefusedError(child, "takes files and where to go without them")
                target = child.args[-1]
                if target.startswith("="):
                    parse_status(child, target[1:])
                return self._context.checked_template(target)
        return ""

    # proxy_pass.

    def _translate_proxy_pass(self, node: Node, pattern: LocationPattern) -> tuple[str, str | None]:
        """Returns the upstream and the URI of a location's `proxy_pass`; "" and None without one."""
        directives = [child for child in node.children if child.name == "proxy_pass"]
        if not directives:
            return "", None
        directive = directives[-1]
        target = parse_proxy_pass(directive)
        if target.upstream.startswith("$"):
            self._check_choices(directive, target.upstream.strip("${}"))
        else:
            self._resolve_upstream(directive, target.upstream)
        if target.uri is not None:
            try:
                self._context.checked_template(target.uri)
            except UnknownVariableError as error:
                raise DirectiveRefusedError(directive, str(error)) from error
            is_constant = "$" not in target.uri + target.upstream
            if is_constant and (pattern.is_regex or pattern.modifier == "@"):
                raise DirectiveRefusedError(
                    directive, "nginx takes no URI here: the location is a regex or named"
                )
        if len(directives) > 1:
            raise DirectiveRefusedError(directive, "a second one in this location")
        return target.upstream, target.uri

    def _resolve_upstream(self, node: Node, name: str) -> None:
        """Checks that an upstream exists; for a literal address, adds an upstream with that one server."""
        if name in self._context.upstreams:
            return
        try:
            address = parse_server_address(name)
        except DirectiveValueError as error:
            raise DirectiveRefusedError(
                node, f"'{name}' is no upstream of this file, and names are not looked up"
            ) from error
        server = UpstreamServerRow(address=address, defined_at=node.location, max_fails=0)
        self._context.upstreams[name] = UpstreamRow(name=name, defined_at=node.location, servers=[server])

    def _check_choices(self, node: Node, variable: str) -> None:
        """Checks that every value of a variable in `proxy_pass` names a known upstream."""
        values = self._context.choices.get(variable)
        if values is None:
            raise DirectiveRefusedError(
                node, f"${variable}: which upstream that is can't be known beforehand"
            )
        for value in values:
            if "$" in value:
                raise DirectiveRefusedError(
                    node, f"${variable} may be '{value}', which can't be known beforehand"
                )
            if value:
                self._resolve_upstream(node, value)
            else:
                self._context.note(node, f"${variable} may be empty: then 502, as nginx says 500")


def parse_pattern(node: Node) -> LocationPattern:
    """Returns a location's pattern; the modifier may be a separate argument or the pattern's prefix.

    Raises:
        DirectiveRefusedError: The pattern is missing, or the modifier is unknown.
    """
    if len(node.args) == 2:
        modifier, pattern = node.args
        if modifier not in MODIFIERS:
            raise DirectiveRefusedError(node, f"'{modifier}' is no kind of location")
        return LocationPattern(modifier, pattern)
    if len(node.args) != 1 or not node.args[0]:
        raise DirectiveRefusedError(node, "takes a pattern")
    text = node.args[0]
    for modifier in ATTACHED_MODIFIERS:
        if text.startswith(modifier):
            return LocationPattern(modifier, text if modifier == "@" else text.removeprefix(modifier))
    return LocationPattern("", text)


def _check_pattern(node: Node, pattern: LocationPattern, enclosing: LocationPattern | None) -> None:
    """Checks that nginx accepts a pattern here; raises `DirectiveRefusedError` or `RegexError`."""
    text = pattern.pattern
    if pattern.is_regex:
        Regex(text, pattern.modifier == "~*")
    elif pattern.modifier and not text.startswith(("/", "@")):
        raise DirectiveRefusedError(node, f"'{text}' fits no URI")
    if enclosing is None:
        return
    if enclosing.modifier in ("=", "@") or pattern.modifier == "@":
        raise DirectiveRefusedError(
            node, "nginx takes no location within an exact or a named one, and no named one within"
        )
    if not pattern.is_regex and not text.startswith(enclosing.pattern):
        raise DirectiveRefusedError(node, f"'{text}' is outside location '{enclosing.pattern}'")


def _translate_limit_except(node: Node, scope: Scope) -> tuple[list[str], list[AccessRow]]:
    """Returns the methods of a location's `limit_except` and the access rules for all other methods."""
    directives = [child for child in node.children if child.name == "limit_except"]
    if not directives:
        return [], []
    directive = directives[0]
    if len(directives) > 1 or not directive.args:
        raise DirectiveRefusedError(directives[-1], "takes methods, once in a location")
    for child in directive.children:
        if child.name not in ("allow", "deny"):
            raise DirectiveRefusedError(child, "only allow and deny are carried over in limit_except")
    methods = [method.upper() for method in directive.args]
    return methods, translate_access(scope.enter(directive.children).all(ACCESS_GROUP))


def _denies_all(access: list[AccessRow]) -> bool:
    return bool(access) and not access[0].is_allowed and access[0].network == "all"
