"""A table at work: from a request to where it lands, phase by phase as nginx goes through them.

server by listen and host; the server's rewrites; the location; its rewrites, and back to the location as long
as they change the URI, ten times at the most; access; then an answer made here, or an upstream and what it is
asked for. No I/O, nothing random: the same request lands at the same place.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field

from .hosts import HostNames, clean_host
from .location_search import Found, Level, Location, Search
from .maps import Map, Split, split_ends
from .regexes import Regex, TooCostly
from .rewrite import REDIRECTS, Reply, Rule, compile_steps, run_rules
from .table import Access, ErrorPage, MapTable, Place, Server, Site, SplitTable, Step, Terms
from .uri import UNSAFE, escape
from .values import Network
from .variables import MapRule, Request, State, Template, read_template

CHANGES_MOST = 10  # of a request's URI (NGX_HTTP_MAX_URI_CHANGES)


@dataclass(slots=True)
class Landing:
    """Where a request lands: an `upstream` that is asked for `target`, or an answer made here.

    `status` 444: the connection is closed without an answer. `shown`: the status that the client is told
    instead of the answer's own, set by `error_page`.
    """

    server: VirtualServer
    state: State
    location: Location | None = None
    upstream: str = ""
    target: str = ""
    status: int = 0
    text: str = ""
    redirect: str = ""
    shown: int | None = None
    from_error: bool = False
    changes: int = CHANGES_MOST

    @property
    def place(self) -> Place | None:
        return self.location.place if self.location is not None else None

    @property
    def terms(self) -> Terms:
        return self.location.place.terms if self.location is not None else Terms()


@dataclass(slots=True)
class Gate:
    """`allow` and `deny`: the first rule that fits counts."""

    rules: list[tuple[bool, Network | None]]

    def lets(self, client: str) -> bool:
        address = ipaddress.ip_address(client)
        for allow, network in self.rules:
            if network is None or address in network:
                return allow
        return True


@dataclass(slots=True)
class Rules:
    """What is compiled of one location."""

    steps: tuple[Rule, ...]
    gate: Gate
    methods_gate: Gate
    upstream: Template
    uri: Template | None
    fallback: Template | None
    errors: dict[int, tuple[ErrorPage, Template]]
    fields: tuple[tuple[str, Template], ...] = ()
    added: tuple[tuple[str, Template, bool], ...] = ()
    key: Template | None = None


@dataclass(slots=True, eq=False)
class VirtualServer:
    row: Server
    level: Level
    named: dict[str, Location]
    steps: tuple[Rule, ...]
    errors: dict[int, tuple[ErrorPage, Template]]
    added: tuple[tuple[str, Template, bool], ...] = ()
    name: str = ""


@dataclass(slots=True)
class Listener:
    """The servers behind one `listen` of the file."""

    names: HostNames[VirtualServer] = field(default_factory=HostNames)
    default: VirtualServer | None = None


class Router:
    """A compiled table. `ValueError` names what of it cannot be."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.own = variables_of(site)
        self.upstreams = {upstream.name: upstream for upstream in site.upstreams}
        self.maps: dict[str, MapRule] = {}
        for row in site.maps:
            self.maps[row.name] = compile_map(row, self.own)
        for split in site.splits:
            self.maps[split.name] = compile_split(split, self.own)
        self.listeners: dict[str, Listener] = {}
        for server in site.servers:
            self._server(server)

    # Compilation.

    def _server(self, row: Server) -> None:
        named: dict[str, Location] = {}
        level = self._level(row.places, named)
        server = VirtualServer(
            row, level, named, compile_steps(row.steps, self.own), self._errors(row.errors)
        )
        server.added = self._added(row.add_fields, self.own)
        server.name = next((name for name in row.names if not name.startswith(("~", "*"))), "")
        for listen in row.listens:
            listener = self.listeners.setdefault(listen.address, Listener())
            if listener.default is None or listen.default:
                listener.default = server
            for name in row.names or [""]:
                listener.names.add(name, server)

    def _level(self, places: list[Place], named: dict[str, Location]) -> Level:
        level = Level()
        for place in places:
            regex = Regex(place.pattern, place.kind == "~*") if place.kind in ("~", "~*") else None
            location = Location(place, regex, self._level(place.places, named))
            location.rules = self._rules(place, frozenset(regex.names) if regex is not None else frozenset())
            if place.kind == "@":
                named[place.pattern] = location
            else:
                level.add(location)
        level.close()
        return level

    def _rules(self, place: Place, names: frozenset[str]) -> Rules:
        own, terms = self.own | names, place.terms
        return Rules(
            steps=compile_steps(place.steps, own),
            gate=gate_of(place.access),
            methods_gate=gate_of(place.methods_access),
            upstream=read_template(place.upstream, own),
            uri=read_template(place.uri, own) if place.uri is not None else None,
            fallback=read_template(place.fallback, own) if place.fallback else None,
            errors=self._errors(place.errors),
            fields=tuple((name, read_template(value, own)) for name, value in terms.set_fields),
            added=self._added(terms.add_fields, own),
            key=read_template(terms.key, own) if terms.key else None,
        )  # fmt: skip

    def _added(self, rows: list[list[str]], own: frozenset[str]) -> tuple[tuple[str, Template, bool], ...]:
        return tuple((name, read_template(value, own), kind == "always") for name, value, kind in rows)

    def _errors(self, rows: list[ErrorPage]) -> dict[int, tuple[ErrorPage, Template]]:
        found: dict[int, tuple[ErrorPage, Template]] = {}
        for row in rows:
            for code in row.codes:
                found.setdefault(code, (row, read_template(row.to, self.own)))
        return found

    # Routing.

    def server_of(self, listen: str, host: str) -> VirtualServer:
        """By the Host; who asks for none of the names gets the listen's default server."""
        listener = self.listeners[listen]
        assert listener.default is not None
        return listener.names.find(host) or listener.default

    def route(self, listen: str, request: Request, trace: list[str] | None = None) -> Landing:
        """Where a request lands. The listen is one of the file's; `request.host` is a clean host."""
        server = self.server_of(listen, request.host)
        state = State(
            request, request.target.path, request.target.args, server_name=server.name, maps=self.maps
        )
        state.own.update(self.listeners[listen].names.find_regex(request.host)[1])
        landing = Landing(server, state)
        if trace is not None:
            names = " ".join(server.row.names) or "no name"
            trace.append(f"server {names}, listen {listen}  [{server.row.at}]")
        return self._from_server(landing, trace)

    def _from_server(self, landing: Landing, trace: list[str] | None) -> Landing:
        try:
            course = run_rules(landing.server.steps, landing.state, trace)
            if course.reply is not None:
                return self._replied(landing, course.reply, trace)
            return self._locate(landing, trace)
        except TooCostly as error:
            if trace is not None:
                trace.append(f"  given up: {error}")
            return self._replied(landing, Reply(500), trace, final=True)

    def _locate(self, landing: Landing, trace: list[str] | None) -> Landing:
        while True:
            if trace is not None:
                trace.append(f"location for {landing.state.uri}:")
            search = Search(landing.state, trace)
            found = search.run(landing.server.level)
            landing.location = search.best
            if found is Found.NOTHING or search.best is None:
                return self._replied(landing, Reply(404), trace)
            if found is Found.WITH_SLASH:
                uri = escape(landing.state.uri) + "/"
                args = f"?{landing.state.args}" if landing.state.args else ""
                return self._replied(landing, Reply(301, location=uri + args), trace)
            if search.best.place.internal and not landing.state.internal:
                return self._replied(landing, Reply(404), trace)
            if not self._enter(landing, trace):
                return landing

    def _enter(self, landing: Landing, trace: list[str] | None) -> bool:
        """Go through a location's phases; True: its rewrites want another location."""
        location, state = landing.location, landing.state
        assert location is not None
        rules = location.rules
        assert isinstance(rules, Rules)
        if self._too_large(landing):
            self._replied(landing, Reply(413), trace)
            return False
        course = run_rules(rules.steps, state, trace)
        if course.reply is not None:
            self._replied(landing, course.reply, trace)
            return False
        if course.changed:
            landing.changes -= 1
            if landing.changes < 0:
                self._replied(landing, Reply(500), trace, final=True)
                return False
            return True
        method = "GET" if state.request.method == "HEAD" else state.request.method
        methods = location.place.methods
        gate = rules.methods_gate if methods and method not in methods else rules.gate
        if not gate.lets(state.request.client):
            self._replied(landing, Reply(403), trace)
            return False
        if location.place.fallback:
            return self._fall_back(landing, rules, trace)
        self._pass(landing, rules, course.whole, trace)
        return False

    def _fall_back(self, landing: Landing, rules: Rules, trace: list[str] | None) -> bool:
        """ngx_http_core_module, try_files: an internal redirect to the last, or its code."""
        assert rules.fallback is not None
        to, state = rules.fallback.fill(landing.state), landing.state
        if trace is not None:
            trace.append(f"try_files -> {to}")
        if to.startswith("="):
            self._replied(landing, Reply(int(to[1:])), trace)
            return False
        landing.changes -= 1
        if landing.changes < 0:
            self._replied(landing, Reply(500), trace, final=True)
            return False
        state.internal = True
        if to.startswith("@"):
            self._to_named(landing, to, trace)
            return False
        state.unparsed = False
        state.uri, question, args = to.partition("?")
        state.args = args if question else state.args
        return True

    def _too_large(self, landing: Landing) -> bool:
        most = landing.terms.body_most
        length = landing.state.request.fields.get("content-length", "0")
        return 0 < most < (int(length) if length.isdigit() else 0)

    def _pass(self, landing: Landing, rules: Rules, whole: bool, trace: list[str] | None) -> None:
        state, place = landing.state, landing.place
        assert place is not None
        name = rules.upstream.fill(state)
        upstream = self.upstreams.get(name)
        if upstream is None:  # a variable's value that no upstream has: nginx would look the name up
            self._replied(landing, Reply(404 if not place.upstream else 502), trace)
            return
        state.proxy_host = name
        landing.upstream, landing.status = name, 0
        landing.target = target_of(state, place, rules, whole)
        if trace is not None:
            trace.append(f"upstream {name}, asked for {landing.target}  [{upstream.at}]")
            for box in upstream.boxes:
                words = [word for word, on in (("down", box.down), ("backup", box.backup)) if on]
                trace.append(
                    f"  {box.address} weight {box.weight} {' '.join(words)}".rstrip() + f"  [{box.at}]"
                )

    # Answers made here, and the pages for them.

    def _replied(
        self, landing: Landing, reply: Reply, trace: list[str] | None, final: bool = False
    ) -> Landing:
        landing.upstream, landing.status, landing.text = "", reply.status, reply.text
        landing.redirect = redirect_of(landing, reply.location) if reply.status in REDIRECTS else ""
        if trace is not None:
            trace.append(f"answer {reply.status} {landing.redirect or reply.text}".rstrip())
        if final or reply.text or reply.status in REDIRECTS:
            return landing
        return self.on_error(landing, reply.status, trace)

    def on_error(self, landing: Landing, status: int, trace: list[str] | None = None) -> Landing:
        """What `error_page` makes of a status: another landing of the same request, once, or the same."""
        rules = landing.location.rules if landing.location is not None else None
        errors = rules.errors if isinstance(rules, Rules) else {}
        page = (errors or landing.server.errors).get(status)
        if page is None or landing.from_error or landing.changes <= 0:
            return landing
        row, template = page
        landing.from_error, landing.changes = True, landing.changes - 1
        landing.shown = status if row.status is None else row.status or None
        state, to = landing.state, template.fill(landing.state)
        if trace is not None:
            trace.append(f"error_page {status} -> {to}")
        if to.startswith(("http://", "https://")):
            landing.status = row.status if row.status in REDIRECTS else 302
            landing.redirect, landing.shown, landing.text = to, None, ""
            return landing
        state.internal = True
        try:
            if to.startswith("@"):
                return self._to_named(landing, to, trace)
            if state.request.method != "HEAD":
                state.request.method = "GET"
            state.unparsed = False
            state.uri, _, args = to.partition("?")
            state.args = args
            return self._from_server(landing, trace)
        except TooCostly:
            landing.status, landing.upstream = 500, ""
            return landing

    def _to_named(self, landing: Landing, name: str, trace: list[str] | None) -> Landing:
        location = landing.server.named.get(name)
        if location is None:
            return self._replied(landing, Reply(500), trace, final=True)
        landing.location = location
        return self._locate(landing, trace) if self._enter(landing, trace) else landing


def target_of(state: State, place: Place, rules: Rules, whole: bool) -> str:
    """What the upstream is asked for (`ngx_http_proxy_create_request`)."""
    args = f"?{state.args}" if state.args else ""
    if rules.uri is None or (not rules.uri.plain and rules.uri.text == ""):
        if state.unparsed:
            return state.request.target.raw.partition("#")[0]
        return escape(state.uri) + args
    if not rules.uri.plain or not rules.upstream.plain:  # with variables it is passed as it comes out
        # Guards against a decoded line end that nginx would write into the request: a smuggled second one.
        return escape(rules.uri.fill(state), UNSAFE)
    escaped = state.request.target.quoted or state.internal
    if whole:
        return (escape(state.uri) if escaped else state.uri) + args
    rest = state.uri[len(place.pattern) :] if place.kind in ("", "^~", "=") else ""
    return rules.uri.text + (escape(rest) if escaped else rest) + args


def redirect_of(landing: Landing, location: str) -> str:
    """A Location field: absolute, unless the file has `absolute_redirect off` or it already is."""
    row, request = landing.server.row, landing.state.request
    location = escape(location, UNSAFE)
    if not location.startswith("/") or not row.absolute_redirect:
        return location
    host = landing.server.name if row.name_in_redirect else request.host or landing.server.name
    usual = 443 if request.scheme == "https" else 80
    port = f":{request.server_port}" if row.port_in_redirect and request.server_port != usual else ""
    return f"{request.scheme}://{host or request.server_addr}{port}{location}"


def gate_of(rows: list[Access]) -> Gate:
    every = [(r.allow, None if r.network == "all" else ipaddress.ip_network(r.network)) for r in rows]
    return Gate(every)


def variables_of(site: Site) -> frozenset[str]:
    """The file's own variables: of maps, splits, `set`, and the named groups of all its regexes."""
    names = {row.name for row in site.maps} | {row.name for row in site.splits}

    def regex(pattern: str) -> None:
        names.update(Regex(pattern).names if "(?" in pattern else ())

    def steps(rows: list[Step]) -> None:
        for row in rows:
            names.update({row.name} - {""})
            for pattern in (row.regex, row.test[2] if len(row.test) > 2 and "~" in row.test[1] else ""):
                regex(pattern)
            steps(row.then)

    def places(rows: list[Place]) -> None:
        for place in rows:
            regex(place.pattern if "~" in place.kind[:1] else "")
            steps(place.steps)
            places(place.places)

    for server in site.servers:
        steps(server.steps)
        places(server.places)
        for name in server.names:
            regex(name[1:] if name.startswith("~") else "")
    for row in site.maps:
        for key, _ in row.entries:
            regex(key.lstrip("~*") if key.startswith("~") else "")
    return frozenset(names)


def compile_map(row: MapTable, own: frozenset[str]) -> Map:
    exact: dict[str, Template] = {}
    hosts: HostNames[Template] | None = HostNames() if row.hostnames else None
    regexes: list[tuple[Regex, Template]] = []
    for key, value in row.entries:
        if key.startswith("~"):
            regex = Regex(key[2:], True) if key.startswith("~*") else Regex(key[1:])
            regexes.append((regex, read_template(value, own | frozenset(regex.names))))
        elif hosts is not None:
            hosts.add(key.removeprefix("\\"), read_template(value, own))
        else:
            exact.setdefault(key.removeprefix("\\").lower(), read_template(value, own))
    default = read_template(row.default, own)
    return Map(read_template(row.source, own), exact, hosts, tuple(regexes), default)


def compile_split(row: SplitTable, own: frozenset[str]) -> Split:
    ends = split_ends([None if part == "*" else int(part) for part, _ in row.parts])
    parts = tuple(zip(ends, (read_template(value, own) for _, value in row.parts), strict=True))
    return Split(read_template(row.source, own), parts)


def read_host(raw: str) -> str:
    return clean_host(raw) if raw else ""
