"""Translates the directives in force at a location to its proxy settings, access rules and error pages.

All functions raise `DirectiveRefusedError` for a directive that cannot be translated.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from .errors import DirectiveValueError
from .parser import Node
from .scope import DirectiveRefusedError, Scope, parse_argument, single_argument
from .table import AccessRow, ErrorPageRow, ProxySettings
from .values import parse_count, parse_duration_ms, parse_flag, parse_network, parse_size_bytes

RETRY_CONDITIONS = frozenset({
    "error", "timeout", "invalid_header", "http_500", "http_502", "http_503", "http_504", "http_403",
    "http_404", "http_429", "non_idempotent",
})  # fmt: skip
STALE_CONDITIONS = (RETRY_CONDITIONS - {"non_idempotent"}) | {"updating"}
HIDDEN_FIELDS = (  # the response fields that nginx hides by default (proxy_hide_header)
    "date", "server", "x-pad", "x-accel-expires", "x-accel-redirect", "x-accel-limit-rate",
    "x-accel-buffering", "x-accel-charset",
)  # fmt: skip
# nginx also sends `Connection: close` by default; here the connection pool decides on that field.
DEFAULT_FIELDS = (("Host", "$proxy_host"),)
CONNECTION_FIELDS = frozenset({"connection", "upgrade", "transfer-encoding", "content-length", "te"})
STATUS_DIGITS = 3
SINGLE_VALUES: tuple[tuple[str, str, Callable[[str], object]], ...] = (
    ("proxy_connect_timeout", "connect_timeout_ms", parse_duration_ms),
    ("proxy_read_timeout", "read_timeout_ms", parse_duration_ms),
    ("proxy_send_timeout", "send_timeout_ms", parse_duration_ms),
    ("proxy_next_upstream_tries", "max_attempts", parse_count),
    ("proxy_next_upstream_timeout", "retry_timeout_ms", parse_duration_ms),
    ("proxy_cache_lock", "joins_fills", parse_flag),
    ("proxy_cache_key", "cache_key", str),
    ("client_max_body_size", "max_body_bytes", parse_size_bytes),
)


def translate_proxy_settings(scope: Scope) -> ProxySettings:
    """Translates the proxy directives that are in force in a scope."""
    values: dict[str, Any] = {}
    for directive, name, parse in SINGLE_VALUES:
        if node := scope.last(directive):
            values[name] = parse_argument(node, parse)
    if node := scope.last("proxy_next_upstream"):
        values["retry_on"] = _parse_conditions(node, RETRY_CONDITIONS)
    if node := scope.last("proxy_cache_use_stale"):
        values["use_stale_on"] = _parse_conditions(node, STALE_CONDITIONS)
    if node := scope.last("proxy_redirect"):
        if node.args not in (("off",), ("default",)):
            raise DirectiveRefusedError(node, "only `default` and `off` are carried over")
        values["redirect"] = node.args[0]
    lifetime_ms = _freshness_lifetime_ms(scope)
    if lifetime_ms is not None:
        values["freshness_lifetime_ms"] = lifetime_ms
    values["set_fields"] = _set_fields(scope)
    values["hide_fields"] = _hidden_fields(scope)
    values["add_fields"] = translate_added_fields(scope)
    return ProxySettings(**values)


def _freshness_lifetime_ms(scope: Scope) -> float | None:
    """Returns the time of the first `proxy_cache_valid` that applies to a 200; checks the others too."""
    lifetime_ms = None
    for node in scope.all("proxy_cache_valid"):
        *statuses, duration = node.args or ("",)
        try:
            duration_ms = parse_duration_ms(duration)
        except DirectiveValueError as error:
            raise DirectiveRefusedError(node, str(error)) from error
        applies_to_200 = not statuses or "200" in statuses or "any" in statuses
        if applies_to_200 and lifetime_ms is None:
            lifetime_ms = duration_ms
    return lifetime_ms


def _parse_conditions(node: Node, known: frozenset[str]) -> tuple[str, ...]:
    if node.args == ("off",):
        return ()
    for condition in node.args:
        if condition not in known:
            raise DirectiveRefusedError(node, f"'{condition}' is no condition that is known")
    if not node.args:
        raise DirectiveRefusedError(node, "names no condition")
    return node.args


def _set_fields(scope: Scope) -> list[list[str]]:
    """Returns the fields to send, in order, with nginx's default `Host` if the file sets none.

    A field with an empty value is part of the result, and is not sent to the upstream.
    """
    fields = []
    for node in scope.all("proxy_set_header"):
        if len(node.args) != 2:
            raise DirectiveRefusedError(node, "takes a field and a value")
        name, value = node.args
        if name.lower() == "upgrade" and value:
            raise DirectiveRefusedError(node, "upgraded connections (WebSocket) are not carried")
        if name.lower() not in CONNECTION_FIELDS:
            fields.append([name, value])
    names = {name.lower() for name, _ in fields}
    return [[name, value] for name, value in DEFAULT_FIELDS if name.lower() not in names] + fields


def _hidden_fields(scope: Scope) -> list[str]:
    names = list(HIDDEN_FIELDS)
    for node in scope.all("proxy_hide_header"):
        name = single_argument(node).lower()
        if node.name == "proxy_pass_header":
            names = [hidden for hidden in names if hidden != name]
        elif name not in names:
            names.append(name)
    return names


def translate_added_fields(scope: Scope) -> list[list[str]]:
    """Translates `add_header` to rows that are a name, a value, and `always` or ""."""
    fields = []
    for node in scope.all("add_header"):
        if len(node.args) not in (2, 3) or node.args[2:] not in ((), ("always",)):
            raise DirectiveRefusedError(node, "takes a field, a value and perhaps `always`")
        condition = node.args[2] if len(node.args) == 3 else ""
        fields.append([node.args[0], node.args[1], condition])
    return fields


def check_satisfy(node: Node) -> None:
    """Refuses `satisfy any`; only `satisfy all` is supported."""
    if node.args != ("all",):
        raise DirectiveRefusedError(node, "`any` would let in by an address whom nginx asks for more")


def translate_access(nodes: Sequence[Node]) -> list[AccessRow]:
    """Translates `allow` and `deny`."""
    return [
        AccessRow(is_allowed=node.name == "allow", network=parse_argument(node, parse_network))
        for node in nodes
    ]


def translate_error_pages(scope: Scope) -> list[ErrorPageRow]:
    """Translates `error_page`."""
    pages = []
    for node in scope.all("error_page"):
        *statuses, target = node.args or ("",)
        response_status: int | None = None
        if statuses and statuses[-1].startswith("="):
            text = statuses.pop()[1:]
            response_status = parse_status(node, text) if text else 0
        if not statuses or not target.startswith(("/", "@", "http://", "https://", "$")):
            raise DirectiveRefusedError(node, "takes statuses and where to go")
        pages.append(
            ErrorPageRow(
                statuses=[parse_status(node, status) for status in statuses],
                target=target,
                response_status=response_status,
            )
        )
    return pages


def parse_status(node: Node, text: str) -> int:
    """Parses a status of three digits, an argument of `node`."""
    if not (text.isascii() and text.isdigit() and len(text) == STATUS_DIGITS):
        raise DirectiveRefusedError(node, f"'{text}' is no status")
    return int(text)
