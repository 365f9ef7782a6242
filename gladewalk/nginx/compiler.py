"""Compiles a routing table to the virtual servers, locations and computed variables that the router uses."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .errors import RoutingTableError
from .hosts import HostNameMap
from .location_rules import (
    AddedField,
    ErrorPage,
    compile_added_fields,
    compile_error_pages,
    compile_location_rules,
)
from .location_search import Location, LocationSet
from .maps import MapVariable, SplitVariable, split_range_ends
from .regexes import Regex
from .rewrite import Instruction, compile_steps
from .table import LocationRow, MapRow, ServerRow, Site, SplitRow, StepRow
from .variables import ComputedVariable, Template, parse_template


@dataclass(slots=True, eq=False)
class VirtualServer:
    """A compiled server.

    Attributes:
        locations: The locations that are searched by URI.
        named_locations: The locations of the form `@name`, by name.
        primary_name: The first server name that is neither a regex nor a wildcard, or "".
    """

    row: ServerRow
    locations: LocationSet
    named_locations: dict[str, Location]
    instructions: tuple[Instruction, ...]
    error_pages: dict[int, ErrorPage]
    added_fields: tuple[AddedField, ...]
    primary_name: str


@dataclass(slots=True)
class Listener:
    """The servers of one listen address."""

    servers: HostNameMap[VirtualServer] = field(default_factory=HostNameMap)
    default_server: VirtualServer | None = None


@dataclass(slots=True)
class CompiledSite:
    """A compiled table: the listeners by `HOST:PORT`, and the variables of `map` and `split_clients`."""

    listeners: dict[str, Listener]
    computed: dict[str, ComputedVariable]


def compile_site(site: Site) -> CompiledSite:
    """Compiles a table; raises `RoutingTableError`."""
    try:
        return _SiteCompiler(site).compile()
    except RoutingTableError:
        raise
    except ValueError as error:  # an invalid value in a table that was edited by hand
        raise RoutingTableError(str(error)) from error


class _SiteCompiler:
    def __init__(self, site: Site) -> None:
        self._site = site
        self._custom = custom_variables(site)

    def compile(self) -> CompiledSite:
        computed: dict[str, ComputedVariable] = {}
        for map_row in self._site.maps:
            computed[map_row.name] = self._compile_map(map_row)
        for split_row in self._site.splits:
            computed[split_row.name] = self._compile_split(split_row)
        listeners: dict[str, Listener] = {}
        for server_row in self._site.servers:
            self._add_server(server_row, listeners)
        return CompiledSite(listeners, computed)

    def _add_server(self, row: ServerRow, listeners: dict[str, Listener]) -> None:
        named: dict[str, Location] = {}
        server = VirtualServer(
            row,
            self._compile_locations(row.locations, named),
            named,
            compile_steps(row.steps, self._custom),
            compile_error_pages(row.error_pages, self._custom),
            compile_added_fields(row.add_fields, self._custom),
            next((name for name in row.names if not name.startswith(("~", "*"))), ""),
        )
        for listen in row.listens:
            listener = listeners.setdefault(listen.address, Listener())
            if listener.default_server is None or listen.is_default:
                listener.default_server = server
            for name in row.names or [""]:
                listener.servers.add(name, server)

    def _compile_locations(self, rows: Sequence[LocationRow], named: dict[str, Location]) -> LocationSet:
        """Compiles the locations of one level; named locations are added to `named` instead."""
        locations = LocationSet()
        for row in rows:
            regex = Regex(row.pattern, row.modifier == "~*") if row.is_regex else None
            captured = frozenset(regex.names if regex is not None else ())
            nested = self._compile_locations(row.locations, named)
            location = Location(row, regex, nested, compile_location_rules(row, captured, self._custom))
            if row.is_named:
                named[row.pattern] = location
            else:
                locations.add(location)
        locations.finish()
        return locations

    def _compile_map(self, row: MapRow) -> MapVariable:
        exact: dict[str, Template] = {}
        host_names: HostNameMap[Template] | None = HostNameMap() if row.hostnames else None
        regexes: list[tuple[Regex, Template]] = []
        for key, value in row.entries:
            if key.startswith("~"):
                regex = _map_regex(key)
                names = self._custom | frozenset(regex.names)
                regexes.append((regex, parse_template(value, names)))
            elif host_names is not None:
                host_names.add(key.removeprefix("\\"), parse_template(value, self._custom))
            else:
                exact.setdefault(key.removeprefix("\\").lower(), parse_template(value, self._custom))
        default = parse_template(row.default, self._custom)
        source = parse_template(row.source, self._custom)
        return MapVariable(source, exact, host_names, tuple(regexes), default)

    def _compile_split(self, row: SplitRow) -> SplitVariable:
        ends = split_range_ends([None if part == "*" else int(part) for part, _ in row.parts])
        values = (parse_template(value, self._custom) for _, value in row.parts)
        parts = tuple(zip(ends, values, strict=True))
        return SplitVariable(parse_template(row.source, self._custom), parts)


def _map_regex(key: str) -> Regex:
    return Regex(key[2:], True) if key.startswith("~*") else Regex(key[1:])


def custom_variables(site: Site) -> frozenset[str]:
    """Returns the variables that the file defines by `map`, `split_clients`, `set` or a regex's named groups.

    Raises:
        RegexError: A regex does not compile.
    """
    names = {row.name for row in site.maps} | {row.name for row in site.splits}
    for row in _all_steps(site):
        names.update({row.variable} - {""})
    for pattern in _all_patterns(site):
        names.update(Regex(pattern).names if "(?" in pattern else ())
    return frozenset(names)


def _all_locations(rows: Sequence[LocationRow]) -> Iterator[LocationRow]:
    for row in rows:
        yield row
        yield from _all_locations(row.locations)


def _nested_steps(rows: Sequence[StepRow]) -> Iterator[StepRow]:
    for row in rows:
        yield row
        yield from _nested_steps(row.steps)


def _all_steps(site: Site) -> Iterator[StepRow]:
    for server in site.servers:
        yield from _nested_steps(server.steps)
        for location in _all_locations(server.locations):
            yield from _nested_steps(location.steps)


def _all_patterns(site: Site) -> Iterator[str]:
    """Yields every regex of a site, without the `~` or `~*` before it."""
    for step in _all_steps(site):
        yield step.regex
        if len(step.condition) > 2 and "~" in step.condition[1]:
            yield step.condition[2]
    for server in site.servers:
        yield from (row.pattern for row in _all_locations(server.locations) if row.is_regex)
        yield from (name[1:] for name in server.names if name.startswith("~"))
    for map_row in site.maps:
        yield from (key.lstrip("~*") for key, _ in map_row.entries if key.startswith("~"))
