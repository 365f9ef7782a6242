"""The compiled rules of a location or server: access, error pages, and the fields and URI of a request."""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass

from .rewrite import Instruction, compile_steps
from .table import AccessRow, ErrorPageRow, LocationRow
from .values import Network
from .variables import Template, parse_template


@dataclass(slots=True, frozen=True)
class AccessList:
    """`allow` and `deny` rules (ngx_http_access_module); the first rule that matches decides.

    Attributes:
        rules: Pairs of whether access is allowed, and the network; a network of None matches every client.
    """

    rules: tuple[tuple[bool, Network | None], ...]

    def allows(self, client_address: str) -> bool:
        """Returns whether a client has access; a client that no rule matches has access."""
        address = ipaddress.ip_address(client_address)
        for is_allowed, network in self.rules:
            if network is None or address in network:
                return is_allowed
        return True


@dataclass(slots=True, frozen=True)
class ErrorPage:
    """A compiled `error_page`: the row, and the target as a template."""

    row: ErrorPageRow
    target: Template


@dataclass(slots=True, frozen=True)
class AddedField:
    """A compiled `add_header`; with `is_always` the field is added whatever the status of the response."""

    name: str
    value: Template
    is_always: bool


@dataclass(slots=True, frozen=True)
class LocationRules:
    """The compiled rules of one location; `LocationRow` and `ProxySettings` describe the values."""

    instructions: tuple[Instruction, ...]
    access: AccessList
    excepted_access: AccessList
    upstream: Template
    uri: Template | None
    fallback: Template | None
    error_pages: dict[int, ErrorPage]
    set_fields: tuple[tuple[str, Template], ...]
    added_fields: tuple[AddedField, ...]
    cache_key: Template | None


def compile_location_rules(
    row: LocationRow, captured: frozenset[str], custom: frozenset[str]
) -> LocationRules:
    """Compiles a location's rules.

    Args:
        row: The location.
        captured: The named groups of the location's regex, which the location's templates may use too.
        custom: The variables that the configuration file defines.

    Raises:
        RoutingTableError: A value cannot be used.
    """
    names, proxy = custom | captured, row.proxy
    return LocationRules(
        instructions=compile_steps(row.steps, names),
        access=compile_access(row.access),
        excepted_access=compile_access(row.excepted_access),
        upstream=parse_template(row.upstream, names),
        uri=parse_template(row.uri, names) if row.uri is not None else None,
        fallback=parse_template(row.fallback, names) if row.fallback else None,
        error_pages=compile_error_pages(row.error_pages, custom),
        set_fields=tuple((name, parse_template(value, names)) for name, value in proxy.set_fields),
        added_fields=compile_added_fields(proxy.add_fields, names),
        cache_key=parse_template(proxy.cache_key, names) if proxy.cache_key else None,
    )


def compile_access(rows: Sequence[AccessRow]) -> AccessList:
    """Compiles `allow` and `deny`; raises `ValueError` for an invalid network."""
    return AccessList(
        tuple(
            (row.is_allowed, None if row.network == "all" else ipaddress.ip_network(row.network))
            for row in rows
        )
    )


def compile_error_pages(rows: Sequence[ErrorPageRow], custom: frozenset[str]) -> dict[int, ErrorPage]:
    """Compiles the error pages by status; of two pages for one status the first is used."""
    pages: dict[int, ErrorPage] = {}
    for row in rows:
        for status in row.statuses:
            pages.setdefault(status, ErrorPage(row, parse_template(row.target, custom)))
    return pages


def compile_added_fields(rows: Sequence[Sequence[str]], custom: frozenset[str]) -> tuple[AddedField, ...]:
    """Compiles `add_header` rows, which are a name, a value, and `always` or ""."""
    return tuple(
        AddedField(name, parse_template(value, custom), condition == "always")
        for name, value, condition in rows
    )
