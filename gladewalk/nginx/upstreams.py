"""Translates `upstream` blocks and `proxy_pass` (ngx_http_upstream_module, ngx_http_proxy_module)."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from .context import TranslationContext
from .errors import DirectiveValueError
from .parser import Node
from .scope import DirectiveRefusedError
from .table import UpstreamRow, UpstreamServerRow
from .values import parse_count, parse_duration_ms, parse_server_address

ROUND_ROBIN = "round robin"
BALANCING_DIRECTIVES = ("hash", "ip_hash", "least_conn", "least_time", "random")
WITHOUT_BACKUP = ("hash", "ip_hash", "random")
UPSTREAM_NAME = re.compile(r"[A-Za-z0-9._-]+(?::\d+)?|\[[0-9a-fA-F:.]+\](?::\d+)?")
UPSTREAM_VARIABLE = re.compile(r"\$(?:\{[A-Za-z0-9_]+\}|[A-Za-z0-9_]+)(?=/|\Z)")
URI_VARIABLES = ("$request_uri", "$uri", "$document_uri", "${request_uri}", "${uri}", "${document_uri}")


def translate_upstream(node: Node, context: TranslationContext) -> UpstreamRow:
    """Translates an `upstream` block; raises `DirectiveRefusedError`."""
    if len(node.args) != 1 or node.args[0] in context.upstreams:
        raise DirectiveRefusedError(node, "an upstream has one name, and each its own")
    servers: list[UpstreamServerRow] = []
    balancing = ROUND_ROBIN
    for child in node.children:
        if child.name == "server":
            context.guard(child, lambda each: servers.append(translate_upstream_server(each)))
        elif child.name in BALANCING_DIRECTIVES:
            balancing = str(child)
            context.note(child, "the core's hash by object takes its place: one copy a location")
    method = balancing.split()[0]
    if method in WITHOUT_BACKUP and any(server.is_backup for server in servers):
        context.refuse(node, f"nginx takes no backup with {method}")
    if all(server.is_backup for server in servers):
        context.refuse(node, "has no server that is not a backup")
    if balancing == ROUND_ROBIN:
        context.note(node, "in the place of round robin the core hashes each object to one server by weight")
    if any(server.slow_start_ms for server in servers):
        context.note(node, "slow_start: the core's own warm-up rule holds for a server that comes back")
    return UpstreamRow(name=node.args[0], defined_at=node.location, servers=servers, balancing=balancing)


def translate_upstream_server(node: Node) -> UpstreamServerRow:
    """Translates `server ADDRESS [parameters]`.

    Raises:
        DirectiveRefusedError: A parameter cannot be translated.
        DirectiveValueError: A value is malformed.
    """
    if not node.args:
        raise DirectiveRefusedError(node, "takes an address")
    values: dict[str, Any] = {"address": parse_server_address(node.args[0]), "defined_at": node.location}
    for parameter in node.args[1:]:
        key, equals, value = parameter.partition("=")
        if parameter in ("backup", "down"):
            values[f"is_{parameter}"] = True
        elif key == "weight" and equals:
            values["weight"] = _parse_weight(value)
        elif key in ("max_conns", "max_fails") and equals:
            values[key] = parse_count(value)
        elif key == "fail_timeout" and equals:
            values["fail_timeout_ms"] = parse_duration_ms(value)
        elif key == "slow_start" and equals:
            values["slow_start_ms"] = parse_duration_ms(value)
        else:
            raise DirectiveRefusedError(node, f"parameter '{parameter}' can't be carried over")
    return UpstreamServerRow(**values)


def _parse_weight(text: str) -> int:
    weight = parse_count(text)
    if not weight:
        raise DirectiveValueError("a weight is a whole number above 0")
    return weight


@dataclass(slots=True, frozen=True)
class ProxyTarget:
    """The parts of a `proxy_pass` URL.

    Attributes:
        upstream: An upstream's name, a literal address, or a variable whose value names an upstream.
        uri: The URI after the upstream; None if there is none.
    """

    upstream: str
    uri: str | None


def parse_proxy_pass(node: Node) -> ProxyTarget:
    """Splits the URL of a `proxy_pass`.

    Raises:
        DirectiveRefusedError: The URL is not `http://`, is a Unix socket, or names no known upstream.
    """
    if len(node.args) != 1:
        raise DirectiveRefusedError(node, "takes one address")
    url = node.args[0]
    if url.startswith("https://"):
        raise DirectiveRefusedError(node, "TLS to an upstream is not spoken here")
    if not url.startswith("http://") or url.startswith("http://unix:"):
        raise DirectiveRefusedError(node, f"'{url}' is no http address of an upstream")
    rest = url.removeprefix("http://")
    variable = UPSTREAM_VARIABLE.match(rest)
    if variable is not None:
        return ProxyTarget(variable[0], rest[variable.end() :] or None)
    name = UPSTREAM_NAME.match(rest)
    if name is None:
        raise DirectiveRefusedError(node, f"'{url}' names no upstream that can be known")
    uri = rest[name.end() :]
    if uri.startswith("$") and not uri.startswith(URI_VARIABLES):
        raise DirectiveRefusedError(node, f"'{url}': which upstream that is can't be known beforehand")
    if uri and not uri.startswith(("/", "$", "?")):
        raise DirectiveRefusedError(node, f"'{url}' names no upstream that can be known")
    return ProxyTarget(name[0], uri or None)
