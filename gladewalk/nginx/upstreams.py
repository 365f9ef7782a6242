"""Servers of an upstream, and what `proxy_pass` names (ngx_http_upstream_module, ngx_http_proxy_module)."""

from __future__ import annotations

import re
from dataclasses import dataclass

from .parser import Node
from .proxy_settings import Refusal
from .table import Box
from .values import BadValue, read_count, read_endpoint, read_ms

HASHED = ("hash", "ip_hash", "least_conn", "least_time", "random")
NAME = re.compile(r"[A-Za-z0-9._-]+(?::\d+)?|\[[0-9a-fA-F:.]+\](?::\d+)?")
URI_VARIABLES = ("$request_uri", "$uri", "$document_uri", "${request_uri}", "${uri}", "${document_uri}")


def read_box(node: Node) -> Box:
    """`server ADDRESS [parameters]`; `Refusal` or `BadValue` for what can't be."""
    if not node.args:
        raise Refusal(node, "takes an address")
    values: dict[str, object] = {"address": read_endpoint(node.args[0]), "at": node.where}
    for word in node.args[1:]:
        key, equals, value = word.partition("=")
        if word in ("backup", "down"):
            values[word] = True
        elif key == "weight" and equals:
            values["weight"] = read_count(value)
            if not values["weight"]:
                raise BadValue("a weight is a whole number above 0")
        elif key in ("max_conns", "max_fails") and equals:
            values[key] = read_count(value)
        elif key == "fail_timeout" and equals:
            values["fail_ms"] = read_ms(value)
        elif key == "slow_start" and equals:
            values["slow_start_ms"] = read_ms(value)
        else:
            raise Refusal(node, f"parameter '{word}' can't be carried over")
    return Box(**values)  # type: ignore[arg-type]


@dataclass(slots=True, frozen=True)
class Passed:
    """What a `proxy_pass` names: an upstream, or a variable that chooses one, and the URI if it has one."""

    upstream: str
    uri: str | None


def read_pass(node: Node) -> Passed:
    """`Refusal` for TLS, Unix sockets and what can't be parted into an upstream and a URI."""
    if len(node.args) != 1:
        raise Refusal(node, "takes one address")
    text = node.args[0]
    if text.startswith("https://"):
        raise Refusal(node, "TLS to an upstream is not spoken here")
    if not text.startswith("http://") or text.startswith("http://unix:"):
        raise Refusal(node, f"'{text}' is no http address of an upstream")
    rest = text.removeprefix("http://")
    variable = re.match(r"\$(?:\{[A-Za-z0-9_]+\}|[A-Za-z0-9_]+)(?=/|\Z)", rest)
    if variable is not None:
        name, uri = rest[: variable.end()], rest[variable.end() :]
        return Passed(name, uri or None)
    found = NAME.match(rest)
    if found is None:
        raise Refusal(node, f"'{text}' names no upstream that can be known")
    uri = rest[found.end() :]
    if uri.startswith("$") and not uri.startswith(URI_VARIABLES):
        raise Refusal(node, f"'{text}': which upstream that is can't be known beforehand")
    if uri and not uri.startswith(("/", "$", "?")):
        raise Refusal(node, f"'{text}' names no upstream that can be known")
    return Passed(found[0], uri or None)
