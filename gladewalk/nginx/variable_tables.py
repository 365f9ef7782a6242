"""Translates `map` and `split_clients` blocks (ngx_http_map_module, ngx_http_split_clients_module)."""

from __future__ import annotations

import re

from .context import TranslationContext
from .hosts import HostNameMap
from .maps import WHOLE_IN_HUNDREDTHS
from .parser import Node
from .regexes import Regex
from .scope import DirectiveRefusedError
from .table import MapRow, SplitRow

VARIABLE = re.compile(r"\$[A-Za-z0-9_]+")
PERCENT = re.compile(r"(\d{1,3}(?:\.\d{1,2})?)%")
REST = "*"


def translate_map(node: Node, context: TranslationContext) -> MapRow:
    """Translates a `map` block.

    Raises:
        DirectiveRefusedError: An entry is malformed.
        RoutingTableError: A regex, host name or variable is invalid.
    """
    source, name = _source_and_name(node, context)
    entries: list[list[str]] = []
    default, has_hostnames = "", False
    for child in node.children:
        if child.name == "hostnames" and not child.args:
            has_hostnames = True
        elif child.name == "volatile" and not child.args:
            continue  # `volatile` disables the caching of the variable, and no variable is cached here
        elif child.name == "include" or len(child.args) != 1:
            raise DirectiveRefusedError(child, "takes a value and a result")
        elif child.name == "default":
            default = context.checked_template(child.args[0])
        else:
            _check_map_regex(child.name)
            entries.append([child.name, context.checked_template(child.args[0])])
    if has_hostnames:
        _check_host_names(entries)
    return MapRow(
        name=name,
        source=source,
        defined_at=node.location,
        entries=entries,
        default=default,
        hostnames=has_hostnames,
    )


def _check_map_regex(key: str) -> None:
    if key.startswith("~*"):
        Regex(key[2:], True)
    elif key.startswith("~"):
        Regex(key[1:])


def _check_host_names(entries: list[list[str]]) -> None:
    names: HostNameMap[None] = HostNameMap()
    for key, _ in entries:
        if not key.startswith("~"):
            names.add(key.removeprefix("\\"), None)


def translate_split(node: Node, context: TranslationContext) -> SplitRow:
    """Translates a `split_clients` block.

    Raises:
        DirectiveRefusedError: A part is malformed, the parts exceed 100 %, or `*` is not last.
        RoutingTableError: A variable is invalid.
    """
    source, name = _source_and_name(node, context)
    parts: list[list[str]] = []
    for child in node.children:
        percent = PERCENT.fullmatch(child.name)
        if len(child.args) != 1 or (percent is None and child.name != REST):
            raise DirectiveRefusedError(child, "takes a per cent, of two decimals at the most, and a result")
        hundredths = REST if percent is None else str(round(float(percent[1]) * 100))
        parts.append([hundredths, context.checked_template(child.args[0])])
    shares = [share for share, _ in parts]
    total = sum(int(share) for share in shares if share != REST)
    if total > WHOLE_IN_HUNDREDTHS or shares.count(REST) > 1:
        raise DirectiveRefusedError(node, "its parts are more than the whole")
    if REST in shares[:-1]:
        raise DirectiveRefusedError(node, "`*` stands last")
    return SplitRow(name=name, source=source, defined_at=node.location, parts=parts)


def _source_and_name(node: Node, context: TranslationContext) -> tuple[str, str]:
    """Returns the source string of a `map` or `split_clients` and the name of the defined variable."""
    if len(node.args) != 2 or not VARIABLE.fullmatch(node.args[1]):
        raise DirectiveRefusedError(node, "takes a string and a variable")
    source, variable = node.args
    return context.checked_template(source), variable.removeprefix("$")
