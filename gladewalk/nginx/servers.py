"""Translates `server` blocks (ngx_http_core_module)."""

from __future__ import annotations

import re
from collections.abc import Sequence
from functools import partial

from .context import TranslationContext
from .hosts import HostNameMap
from .locations import LocationTranslator
from .parser import Node
from .proxy_settings import check_satisfy, translate_added_fields, translate_error_pages
from .scope import DirectiveRefusedError, Scope, parse_argument
from .steps import translate_steps
from .table import ErrorPageRow, ListenRow, ServerRow
from .values import DEFAULT_PORT, parse_flag

DEFAULT_LISTEN = f"*:{DEFAULT_PORT}"
DEFAULT_SERVER_PARAMETERS = ("default_server", "default")
PROTOCOL_PARAMETERS = ("ssl", "http2", "quic", "proxy_protocol", "spdy")
SOCKET_PARAMETERS = (
    "backlog", "rcvbuf", "sndbuf", "setfib", "fastopen", "accept_filter", "so_keepalive", "ipv6only",
)  # fmt: skip
SOCKET_FLAGS = ("deferred", "bind", "reuseport")
LITERAL_HOST = re.compile(r"\*|\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]")


class ServerTranslator:
    """Translates the `server` blocks of a file."""

    def __init__(self, context: TranslationContext) -> None:
        self._context = context
        self._locations = LocationTranslator(context)

    def translate(self, node: Node, outer: Scope, previous: Sequence[ServerRow]) -> ServerRow:
        """Translates a server; refused directives are recorded in the context.

        Args:
            node: The `server` block.
            outer: The directives in force outside the block.
            previous: The earlier servers of the file; a listen address may have only one default server.
        """
        scope = outer.enter(node.children)
        listens, names = self._translate_listens(node), self._translate_names(node)
        merge_slashes = self._translate_flag(scope, "merge_slashes", True)
        absolute_redirect = self._translate_flag(scope, "absolute_redirect", True)
        port_in_redirect = self._translate_flag(scope, "port_in_redirect", True)
        name_in_redirect = self._translate_flag(scope, "server_name_in_redirect", False)
        error_pages: list[ErrorPageRow] = []
        self._context.guard(node, lambda _: error_pages.extend(translate_error_pages(scope)))
        added_fields: list[list[str]] = []
        self._context.guard(node, lambda _: added_fields.extend(translate_added_fields(scope)))
        if satisfy := scope.last("satisfy"):
            self._context.guard(satisfy, check_satisfy)
        self._check_default_servers(node, listens, previous)
        locations = self._locations.translate_level(node.children, scope)
        if not any(row.modifier == "" and row.pattern == "/" for row in locations):
            self._context.note(node, "a request that no location fits gets 404: nginx would look for a file")
        return ServerRow(
            defined_at=node.location,
            listens=listens or [ListenRow(address=DEFAULT_LISTEN)],
            names=names,
            steps=translate_steps(node.children, self._context),
            locations=locations,
            error_pages=error_pages,
            merge_slashes=merge_slashes,
            absolute_redirect=absolute_redirect,
            port_in_redirect=port_in_redirect,
            name_in_redirect=name_in_redirect,
            add_fields=added_fields,
        )

    def _translate_listens(self, node: Node) -> list[ListenRow]:
        listens: list[ListenRow] = []
        for child in node.children:
            if child.name == "listen":
                self._context.guard(child, lambda each: listens.append(self._translate_listen(each)))
        return listens

    def _translate_listen(self, node: Node) -> ListenRow:
        if not node.args:
            raise DirectiveRefusedError(node, "takes an address")
        text, *parameters = node.args
        is_default = False
        for parameter in parameters:
            key = parameter.partition("=")[0]
            if parameter in DEFAULT_SERVER_PARAMETERS:
                is_default = True
            elif parameter in PROTOCOL_PARAMETERS:
                reason = f"'{parameter}' ends in front of this front (--allow {parameter})"
                self._context.refuse(node, reason, parameter)
            elif key not in SOCKET_PARAMETERS and parameter not in SOCKET_FLAGS:
                raise DirectiveRefusedError(node, f"'{parameter}' is not known")
        return ListenRow(address=parse_listen_address(node, text), is_default=is_default)

    def _translate_names(self, node: Node) -> list[str]:
        names: list[str] = []
        for child in node.children:
            if child.name == "server_name":
                for name in child.args:
                    self._context.guard(child, partial(_add_name, names=names, name=name))
        return names

    def _translate_flag(self, scope: Scope, directive: str, default: bool) -> bool:
        """Returns the value of a flag in force; an invalid value is recorded as a refusal."""
        flags = [default]
        if node := scope.last(directive):
            self._context.guard(node, lambda each: flags.append(parse_argument(each, parse_flag)))
        return flags[-1]

    def _check_default_servers(
        self, node: Node, listens: Sequence[ListenRow], previous: Sequence[ServerRow]
    ) -> None:
        """Refuses a second default server for a listen address, as nginx does."""
        defaults = {listen.address for server in previous for listen in server.listens if listen.is_default}
        for listen in listens:
            if listen.is_default and listen.address in defaults:
                self._context.refuse(node, f"a second default server for {listen.address}")


def _add_name(node: Node, names: list[str], name: str) -> None:
    """Adds a server name; raises `DirectiveRefusedError` or `RoutingTableError` for an invalid one."""
    if "$" in name and not name.startswith("~"):
        raise DirectiveRefusedError(node, f"'{name}': which name that is can't be known here")
    checked: HostNameMap[None] = HostNameMap()
    checked.add(name, None)
    names.append(name)


def parse_listen_address(node: Node, text: str) -> str:
    """Parses `80`, `*:80`, `1.2.3.4`, `[::]:80` to `HOST:PORT`; raises `DirectiveRefusedError`."""
    if text.startswith("unix:"):
        raise DirectiveRefusedError(node, "Unix sockets are not listened at")
    if text.isdigit():
        return f"*:{int(text)}"
    host, colon, port = text.rpartition(":")
    if not colon or text.endswith("]"):
        host, port = text, str(DEFAULT_PORT)
    if not LITERAL_HOST.fullmatch(host) or not port.isdigit():
        raise DirectiveRefusedError(node, f"'{text}' is no literal address")
    return f"{host}:{int(port)}"
