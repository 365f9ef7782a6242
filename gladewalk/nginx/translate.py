"""From the tree to the table. Each directive is carried over, found immaterial, or refused by file and line.

`Translator` walks the contexts as nginx does; what is in force at a place is kept in a `Scope` (`terms`).
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from .directives import UNKNOWN, Answer, answer_of
from .hosts import BadName, HostNames
from .locations import Locations
from .maps import split_ends
from .parser import NginxError, Node, read_tree
from .proxy_settings import Refusal, Scope, added, check_satisfy, errors_of, last, narrowed, read
from .regexes import BadRegex, Regex
from .router import Router
from .table import Box, Listen, MapTable, Server, Site, SplitTable, Upstream
from .upstreams import HASHED, read_box
from .values import BadValue, read_flag
from .variables import UnknownVariable, read_template

GROUP = re.compile(r"\(\?P?[<']([A-Za-z_][A-Za-z0-9_]*)[>']")
LISTEN_WORDS = (
    "backlog",
    "rcvbuf",
    "sndbuf",
    "setfib",
    "fastopen",
    "accept_filter",
    "so_keepalive",
    "ipv6only",
)
LISTEN_FLAGS = ("deferred", "bind", "reuseport")
REWRITES = ("server", "location", "if")
CONTEXTS = {
    "http": ("main",), "server": ("main", "http"), "upstream": ("main", "http"), "map": ("main", "http"),
    "split_clients": ("main", "http"), "listen": ("server",), "server_name": ("server",),
    "location": ("server", "location"), "limit_except": ("location",), "internal": ("location",),
    "proxy_pass": ("location",), "rewrite": REWRITES, "return": REWRITES, "set": REWRITES, "break": REWRITES,
    "if": ("server", "location"), "merge_slashes": ("main", "http", "server"),
    "try_files": ("location",),
}  # fmt: skip


class Translator:
    """`allowed` are the directives whose loss the operator accepts by name."""

    def __init__(self, allowed: Iterable[str] = ()) -> None:
        self.allowed = frozenset(allowed)
        self.problems: list[str] = []
        self.losses: list[str] = []
        self.notes: list[str] = []
        self.upstreams: dict[str, Upstream] = {}
        self.maps: list[MapTable] = []
        self.splits: list[SplitTable] = []
        self.servers: list[Server] = []
        self.own: frozenset[str] = frozenset()
        self.choices: dict[str, list[str]] = {}  # a variable -> all the values that it can have, where known
        self.locations = Locations(self)

    def site(self, nodes: tuple[Node, ...]) -> Site:
        """The whole table, or `NginxError` with every line that can't be carried over."""
        everything = list(flat(nodes))
        self.own = frozenset(own_variables(everything))
        for node in everything:
            self._answer(node)
        inner = [node for node in nodes if node.name != "http"]
        for http in (node for node in nodes if node.name == "http"):
            inner += http.block or ()
        scope = narrowed({}, tuple(inner))
        self._contexts(nodes, "main")
        for name, read_one in (
            ("upstream", self._upstream),
            ("map", self._map),
            ("split_clients", self._split),
        ):
            for node in (each for each in inner if each.name == name):
                self.guard(node, read_one)
        self._collect_choices(everything)
        for node in (each for each in inner if each.name == "server"):
            self._server(node, scope)
        if not self.servers and not self.problems:
            where = nodes[0].where if nodes else "the file:1"
            self.problems.append(f"{where}: server: there is none")
        if self.problems:
            raise NginxError("\n".join(sorted(dict.fromkeys(self.problems), key=place_of)))
        site = Site(
            losses=list(dict.fromkeys(self.losses)), notes=list(dict.fromkeys(self.notes)),
            upstreams=list(self.upstreams.values()), maps=self.maps, splits=self.splits, servers=self.servers,
        )  # fmt: skip
        try:
            Router(site)
        except ValueError as error:  # each is looked at where it stands: this guards against one forgotten
            raise NginxError(f"{self.servers[0].at}: server: {error}") from error
        return site

    # Refusals.

    def refuse(self, node: Node, why: str, name: str = "") -> bool:
        """False if the loss is accepted: then it is written down and the rest goes on."""
        name = name or node.name
        if name in self.allowed:
            self.losses.append(f"{node.where}: {node}: {why}")
            return False
        self.problems.append(f"{node.where}: {name}: {why}")
        return True

    def note(self, node: Node, text: str) -> None:
        self.notes.append(f"{node.where}: {node}: {text}")

    def guard(self, node: Node, call) -> None:  # type: ignore[no-untyped-def]
        """Read one directive; what is wrong within it is refused at the line where it stands."""
        try:
            call(node)
        except Refusal as error:
            self.refuse(error.node, str(error))
        except (BadValue, BadRegex, UnknownVariable, BadName) as error:
            self.refuse(node, str(error))

    def _answer(self, node: Node) -> None:
        directive = answer_of(node.name)
        if directive.answer is not Answer.REFUSED:
            return
        if directive is UNKNOWN or directive.allowed or node.name not in self.allowed:
            hint = f" (--allow {node.name} accepts its loss)" if directive.allowed else ""
            self.refuse(node, directive.note + ("" if node.name in self.allowed else hint))
        else:
            self.problems.append(f"{node.where}: {node.name}: {directive.note}; its loss can't be accepted")

    def _contexts(self, nodes: Iterable[Node], context: str) -> None:
        """Guards against a directive where nginx itself would not take it: its meaning there is nobody's."""
        for node in nodes:
            places = CONTEXTS.get(node.name)
            if context == "upstream" and node.name == "server":
                continue  # another directive of that name
            if places is not None and context not in places:
                self.refuse(node, f"stands in {context}, where nginx does not take it")
            carried = answer_of(node.name).answer is Answer.CARRIED
            if node.block is not None and carried and node.name not in ("map", "split_clients"):
                self._contexts(node.block, node.name)

    # Checks that every place needs.

    def template(self, node: Node, text: str) -> str:
        read_template(text, self.own)
        return text

    def regex(self, node: Node, pattern: str, caseless: bool = False) -> str:
        Regex(pattern, caseless)
        return pattern

    # Blocks of http.

    def _upstream(self, node: Node) -> None:
        if len(node.args) != 1 or node.args[0] in self.upstreams:
            raise Refusal(node, "an upstream has one name, and each its own")
        boxes: list[Box] = []
        balance = "round robin"
        for inner in node.block or ():
            if inner.name == "server":
                self.guard(inner, lambda each: boxes.append(read_box(each)))
            elif inner.name in HASHED:
                balance = str(inner)
                self.note(inner, "the core's hash by object takes its place: one copy a location")
        if any(box.backup for box in boxes) and balance.split()[0] in ("hash", "ip_hash", "random"):
            self.refuse(node, f"nginx takes no backup with {balance.split()[0]}")
        if not boxes or all(box.backup for box in boxes):
            self.refuse(node, "has no server that is not a backup")
        if balance == "round robin":
            self.note(node, "in the place of round robin the core hashes each object to one server by weight")
        slow = [box for box in boxes if box.slow_start_ms]
        if slow:
            self.note(node, "slow_start: the core's own warm-up rule holds for a server that comes back")
        self.upstreams[node.args[0]] = Upstream(
            name=node.args[0], at=node.where, boxes=boxes, balance=balance
        )

    def _map(self, node: Node) -> None:
        source, name = self._source_and_name(node)
        entries: list[list[str]] = []
        default, hostnames = "", False
        for inner in node.block or ():
            if inner.name == "hostnames" and not inner.args:
                hostnames = True
            elif inner.name == "volatile" and not inner.args:
                continue  # every value is found anew here anyway
            elif inner.name == "include" or len(inner.args) != 1:
                raise Refusal(inner, "takes a value and a result")
            elif inner.name == "default":
                default = self.template(inner, inner.args[0])
            else:
                if inner.name.startswith("~"):
                    caseless = inner.name.startswith("~*")
                    self.regex(inner, inner.name[2 if caseless else 1 :], caseless)
                entries.append([inner.name, self.template(inner, inner.args[0])])
        if hostnames:
            names: HostNames[int] = HostNames()
            for key, _ in entries:
                if not key.startswith("~"):
                    names.add(key.removeprefix("\\"), 0)
        self.maps.append(MapTable(
            name=name, source=source, at=node.where, entries=entries, default=default, hostnames=hostnames
        ))  # fmt: skip

    def _split(self, node: Node) -> None:
        source, name = self._source_and_name(node)
        parts: list[list[str]] = []
        for inner in node.block or ():
            found = re.fullmatch(r"(\d{1,3}(?:\.\d{1,2})?)%", inner.name)
            if len(inner.args) != 1 or (found is None and inner.name != "*"):
                raise Refusal(inner, "takes a per cent, of two decimals at the most, and a result")
            percent = "*" if found is None else str(round(float(found[1]) * 100))
            parts.append([percent, self.template(inner, inner.args[0])])
        percents = [int(percent) for percent, _ in parts if percent != "*"]
        if sum(percents) > 10_000 or [p for p, _ in parts].count("*") > 1:
            raise Refusal(node, "its parts are more than the whole")
        if any(percent == "*" for percent, _ in parts[:-1]):
            raise Refusal(node, "`*` stands last")
        split_ends([None if percent == "*" else int(percent) for percent, _ in parts])
        self.splits.append(SplitTable(name=name, source=source, at=node.where, parts=parts))

    def _source_and_name(self, node: Node) -> tuple[str, str]:
        if len(node.args) != 2 or not re.fullmatch(r"\$[A-Za-z0-9_]+", node.args[1]):
            raise Refusal(node, "takes a string and a variable")
        return self.template(node, node.args[0]), node.args[1][1:]

    def _collect_choices(self, nodes: Iterable[Node]) -> None:
        """The variables whose every value is known beforehand: they may choose an upstream."""
        for table in self.maps:
            self.choices[table.name] = [table.default, *(value for _, value in table.entries)]
        for split in self.splits:
            whole = split.parts[-1][0] == "*" if split.parts else False
            self.choices[split.name] = [value for _, value in split.parts] + ([] if whole else [""])
        for node in nodes:
            if node.name == "set" and len(node.args) == 2:
                self.choices.setdefault(node.args[0].lstrip("$"), []).append(node.args[1])

    # Servers.

    def _server(self, node: Node, outer: Scope) -> None:
        block = node.block or ()
        scope = narrowed(outer, block)
        listens: list[Listen] = []
        names: list[str] = []
        for inner in block:
            if inner.name == "listen":
                self.guard(inner, lambda each: listens.append(self._listen(each)))
            elif inner.name == "server_name":
                for name in inner.args:
                    self.guard(inner, lambda each, name=name: names.append(self._name(each, name)))
        flags: dict[str, object] = {}
        for name, key, usual in (
            ("merge_slashes", "merge_slashes", True), ("absolute_redirect", "absolute_redirect", True),
            ("port_in_redirect", "port_in_redirect", True),
            ("server_name_in_redirect", "name_in_redirect", False),
        ):  # fmt: skip
            found = last(scope, name)
            flags[key] = usual
            if found is not None:
                self.guard(found, lambda each, key=key: flags.update({key: read(each, read_flag)}))
        pages: list[object] = []
        self.guard(node, lambda each: pages.extend(errors_of(scope)))
        fields: list[list[str]] = []
        self.guard(node, lambda each: fields.extend(added(scope)))
        if found := last(scope, "satisfy"):
            self.guard(found, check_satisfy)
        for listen in listens:
            twice = [s for s in self.servers for other in s.listens
                     if listen.default and other.default and other.address == listen.address]  # fmt: skip
            if twice:
                self.refuse(node, f"a second default server for {listen.address}")
        places = self.locations.level(block, scope, None)
        if not any(place.kind == "" and place.pattern == "/" for place in places):
            self.note(node, "a request that no location fits gets 404: nginx would look for a file")
        self.servers.append(Server(
            at=node.where, listens=listens or [Listen(address="*:80")], names=names,
            steps=self.locations.steps(block), places=places, errors=pages, add_fields=fields,  # type: ignore[arg-type]
            **flags,  # type: ignore[arg-type]
        ))  # fmt: skip

    def _listen(self, node: Node) -> Listen:
        if not node.args:
            raise Refusal(node, "takes an address")
        text, *words = node.args
        default = False
        for word in words:
            key = word.partition("=")[0]
            if word in ("default_server", "default"):
                default = True
            elif word in ("ssl", "http2", "quic", "proxy_protocol", "spdy"):
                self.refuse(node, f"'{word}' ends in front of this front (--allow {word})", word)
            elif key not in LISTEN_WORDS and word not in LISTEN_FLAGS:
                raise Refusal(node, f"'{word}' is not known")
        return Listen(address=listen_address(node, text), default=default)

    def _name(self, node: Node, name: str) -> str:
        if "$" in name and not name.startswith("~"):
            raise Refusal(node, f"'{name}': which name that is can't be known here")
        names: HostNames[int] = HostNames()
        names.add(name, 0)
        return name


def place_of(problem: str) -> tuple[str, int]:
    """File and line of `file:line: directive: why`, to tell them in the order of the files."""
    file, line = problem.partition(": ")[0].rsplit(":", 1)
    return file, int(line)


def listen_address(node: Node, text: str) -> str:
    """`80`, `*:80`, `1.2.3.4`, `[::]:80` as `HOST:PORT`."""
    if text.startswith("unix:"):
        raise Refusal(node, "Unix sockets are not listened at")
    if text.isdigit():
        return f"*:{int(text)}"
    host, colon, port = text.rpartition(":")
    if not colon or text.endswith("]"):
        host, port = text, "80"
    if not re.fullmatch(r"\*|\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]", host) or not port.isdigit():
        raise Refusal(node, f"'{text}' is no literal address")
    return f"{host}:{int(port)}"


def flat(nodes: Iterable[Node]) -> Iterable[Node]:
    """Every directive that is looked at: not those within blocks that are immaterial, or of maps."""
    for node in nodes:
        yield node
        inner = answer_of(node.name).answer is Answer.CARRIED and node.name not in ("map", "split_clients")
        if node.block and inner:
            yield from flat(node.block)


def own_variables(nodes: Iterable[Node]) -> Iterable[str]:
    """What the file itself makes a variable of: maps, splits, `set`, named groups of regexes."""
    for node in nodes:
        if node.name in ("map", "split_clients") and len(node.args) == 2:
            yield node.args[1].lstrip("$")
            for inner in node.block or ():
                yield from GROUP.findall(inner.name)
        elif node.name == "set" and node.args:
            yield node.args[0].lstrip("$")
        for arg in node.args:
            yield from GROUP.findall(arg)


def import_site(path: str, allowed: Iterable[str] = ()) -> Site:
    """The file with all that it includes as a table; `NginxError` names every line that is refused."""
    return Translator(allowed).site(read_tree(path))
