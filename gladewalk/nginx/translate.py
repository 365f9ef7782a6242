"""Translates nginx's configuration to a routing table: each directive is carried over, ignored or refused.

`SiteTranslator` walks the blocks of the file; it is the `TranslationContext` of the translators of single
blocks.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator

from .directive_groups import Handling
from .directives import UNKNOWN_DIRECTIVE, policy_of
from .errors import NginxConfigError, RoutingTableError
from .parser import Node, parse_file
from .router import Router
from .scope import DirectiveRefusedError, Scope
from .servers import ServerTranslator
from .table import MapRow, ServerRow, Site, SplitRow, UpstreamRow
from .upstreams import translate_upstream
from .variable_tables import REST, translate_map, translate_split
from .variables import parse_template

NAMED_GROUP = re.compile(r"\(\?P?[<']([A-Za-z_][A-Za-z0-9_]*)[>']")
VARIABLE_BLOCKS = ("map", "split_clients")  # these blocks contain entries instead of directives
REWRITE_CONTEXTS = ("server", "location", "if")
CONTEXTS = {
    "http": ("main",),
    "server": ("main", "http"),
    "upstream": ("main", "http"),
    "map": ("main", "http"),
    "split_clients": ("main", "http"),
    "listen": ("server",),
    "server_name": ("server",),
    "location": ("server", "location"),
    "limit_except": ("location",),
    "internal": ("location",),
    "proxy_pass": ("location",),
    "rewrite": REWRITE_CONTEXTS,
    "return": REWRITE_CONTEXTS,
    "set": REWRITE_CONTEXTS,
    "break": REWRITE_CONTEXTS,
    "if": ("server", "location"),
    "merge_slashes": ("main", "http", "server"),
    "try_files": ("location",),
}


class SiteTranslator:
    """Translates one file; implements `TranslationContext` for the translators of its blocks.

    Attributes:
        allowed: The directives whose loss the operator accepts.
        upstreams: The upstreams so far, by name; each literal address in a `proxy_pass` is one, too.
        choices: All possible values of a variable, by its name, for the variables whose values are known.
    """

    def __init__(self, allowed: Iterable[str] = ()) -> None:
        self.allowed = frozenset(allowed)
        self.upstreams: dict[str, UpstreamRow] = {}
        self.choices: dict[str, list[str]] = {}
        self._problems: list[str] = []
        self._losses: list[str] = []
        self._notes: list[str] = []
        self._maps: list[MapRow] = []
        self._splits: list[SplitRow] = []
        self._servers: list[ServerRow] = []
        self._custom_variables: frozenset[str] = frozenset()
        self._server_translator = ServerTranslator(self)

    def translate(self, nodes: tuple[Node, ...]) -> Site:
        """Translates the whole tree of directives.

        Raises:
            NginxConfigError: A directive was refused; the text lists every refused line.
        """
        all_nodes = list(walk(nodes))
        self._custom_variables = frozenset(_defined_variables(all_nodes))
        for node in all_nodes:
            self._check_policy(node)
        http_nodes = [node for node in nodes if node.name != "http"]
        for node in nodes:
            if node.name == "http":
                http_nodes += node.children
        self._check_contexts(nodes, "main")
        self._translate_blocks(http_nodes)
        self._collect_choices(all_nodes)
        scope = Scope().enter(http_nodes)
        for node in http_nodes:
            if node.name == "server":
                self._servers.append(self._server_translator.translate(node, scope, self._servers))
        if not self._servers and not self._problems:
            where = nodes[0].location if nodes else "the file:1"
            self._problems.append(f"{where}: server: there is none")
        if self._problems:
            raise NginxConfigError("\n".join(sorted(dict.fromkeys(self._problems), key=_problem_position)))
        return self._build_site()

    def _translate_blocks(self, nodes: list[Node]) -> None:
        """Translates the `upstream` blocks, then the `map` blocks, then the `split_clients` blocks."""
        for node in nodes:
            if node.name == "upstream":
                self.guard(node, self._add_upstream)
        for node in nodes:
            if node.name == "map":
                self.guard(node, lambda each: self._maps.append(translate_map(each, self)))
        for node in nodes:
            if node.name == "split_clients":
                self.guard(node, lambda each: self._splits.append(translate_split(each, self)))

    def _add_upstream(self, node: Node) -> None:
        upstream = translate_upstream(node, self)
        self.upstreams[upstream.name] = upstream

    def _build_site(self) -> Site:
        site = Site(
            losses=list(dict.fromkeys(self._losses)),
            notes=list(dict.fromkeys(self._notes)),
            upstreams=list(self.upstreams.values()),
            maps=self._maps,
            splits=self._splits,
            servers=self._servers,
        )
        try:
            Router(site)
        # The translators check each value with its line; this catches an invalid value that they missed.
        except RoutingTableError as error:
            raise NginxConfigError(f"{self._servers[0].defined_at}: server: {error}") from error
        return site

    # The context of single blocks.

    def refuse(self, node: Node, why: str, name: str = "") -> None:
        """Records that a directive cannot be translated, as a loss if that is allowed, else as an error.

        The loss is allowed if `allowed` has `name`, by default the directive's name.
        """
        name = name or node.name
        if name in self.allowed:
            self._losses.append(f"{node.location}: {node}: {why}")
        else:
            self._problems.append(f"{node.location}: {name}: {why}")

    def note(self, node: Node, text: str) -> None:
        """Records a difference between nginx's behaviour and the table's."""
        self._notes.append(f"{node.location}: {node}: {text}")

    def guard(self, node: Node, translate: Callable[[Node], None]) -> None:
        """Translates one directive; an error that `translate` raises is recorded as a refusal at its line."""
        try:
            translate(node)
        except DirectiveRefusedError as error:
            self.refuse(error.node, str(error))
        except RoutingTableError as error:
            self.refuse(node, str(error))

    def checked_template(self, text: str) -> str:
        """Returns a string with variables unchanged; raises `UnknownVariableError` if it is invalid."""
        parse_template(text, self._custom_variables)
        return text

    # Checks of the whole tree.

    def _check_policy(self, node: Node) -> None:
        """Refuses a directive that cannot be carried over, or records its loss if that is allowed."""
        policy = policy_of(node.name)
        if policy.handling is not Handling.REFUSED:
            return
        is_allowed = node.name in self.allowed
        if policy is UNKNOWN_DIRECTIVE or policy.may_be_allowed or not is_allowed:
            has_hint = policy.may_be_allowed and not is_allowed
            hint = f" (--allow {node.name} accepts its loss)" if has_hint else ""
            self.refuse(node, policy.note + hint)
        else:
            problem = f"{node.location}: {node.name}: {policy.note}; its loss can't be accepted"
            self._problems.append(problem)

    def _check_contexts(self, nodes: Iterable[Node], context: str) -> None:
        """Refuses each directive in a context where nginx does not accept it, as it has no meaning there."""
        for node in nodes:
            if context == "upstream" and node.name == "server":
                continue  # a server of the upstream, a different directive than the virtual server
            contexts = CONTEXTS.get(node.name)
            if contexts is not None and context not in contexts:
                self.refuse(node, f"stands in {context}, where nginx does not take it")
            if _has_directives(node):
                self._check_contexts(node.children, node.name)

    def _collect_choices(self, nodes: Iterable[Node]) -> None:
        """Collects the variables whose possible values are all known at import; they may name an upstream."""
        for map_row in self._maps:
            self.choices[map_row.name] = [map_row.default, *(value for _, value in map_row.entries)]
        for split_row in self._splits:
            has_rest = bool(split_row.parts) and split_row.parts[-1][0] == REST
            values = [value for _, value in split_row.parts]
            self.choices[split_row.name] = values if has_rest else [*values, ""]
        for node in nodes:
            if node.name == "set" and len(node.args) == 2:
                variable, value = node.args
                self.choices.setdefault(variable.lstrip("$"), []).append(value)


def _problem_position(problem: str) -> tuple[str, int]:
    """Returns the file and line of `file:line: directive: why`, the key by which problems are sorted."""
    file, line = problem.partition(": ")[0].rsplit(":", 1)
    return file, int(line)


def _has_directives(node: Node) -> bool:
    """Returns whether a node has a block that contains directives to translate."""
    is_translated = policy_of(node.name).handling is Handling.TRANSLATED
    return node.block is not None and is_translated and node.name not in VARIABLE_BLOCKS


def walk(nodes: Iterable[Node]) -> Iterator[Node]:
    """Yields every directive, without those inside ignored or refused blocks and without entries of maps."""
    for node in nodes:
        yield node
        if _has_directives(node):
            yield from walk(node.children)


def _defined_variables(nodes: Iterable[Node]) -> Iterator[str]:
    """Yields the variables that the file defines by `map`, `split_clients`, `set` or named regex groups."""
    for node in nodes:
        if node.name in VARIABLE_BLOCKS and len(node.args) == 2:
            yield node.args[1].lstrip("$")
            for child in node.children:
                yield from NAMED_GROUP.findall(child.name)
        elif node.name == "set" and node.args:
            yield node.args[0].lstrip("$")
        for arg in node.args:
            yield from NAMED_GROUP.findall(arg)


def import_site(path: str, allowed: Iterable[str] = ()) -> Site:
    """Imports an nginx configuration file and the files that it includes.

    Args:
        path: The configuration file.
        allowed: The directives whose loss the operator accepts.

    Raises:
        NginxConfigError: A directive was refused; the text lists every refused line.
    """
    return SiteTranslator(allowed).translate(parse_file(path))
