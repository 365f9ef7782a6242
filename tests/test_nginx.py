"""nginx routing: a corpus of files with expected landings, and a reference implementation of the search.

A corpus file has lines `#> [METHOD] HOST URI [with FIELD=VALUE] [from CLIENT] [at LISTEN] => LANDING` for the
expected landings, or lines `#! LINE DIRECTIVE` for the expected refusals.
"""

import re
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladewalk.config.platform import ConfigError
from gladewalk.nginx.directive_groups import Handling
from gladewalk.nginx.directives import DIRECTIVES, directives_page
from gladewalk.nginx.errors import NginxConfigError, RequestTargetError
from gladewalk.nginx.explain import (
    RequestDescription,
    describe_landing,
    explain,
    moved_requests,
    parse_requests,
    route_request,
)
from gladewalk.nginx.hosts import normalise_optional_host
from gladewalk.nginx.location_search import LocationSearch
from gladewalk.nginx.maps import murmur2
from gladewalk.nginx.router import Router
from gladewalk.nginx.table import ListenRow, LocationRow, ServerRow, Site, StepRow, read_site, write_site
from gladewalk.nginx.translate import import_site
from gladewalk.nginx.uri import parse_target
from gladewalk.nginx.variables import Request, RequestState

CORPUS = Path(__file__).parent.parent / "corpus" / "nginx"
FILES = sorted(CORPUS.glob("*.conf"))
EXPECTATION = re.compile(r"#> (?:([A-Z]+) )?(\S+) (\S+)((?: (?:with|from|at) \S+)*) => (.*)")


@dataclass
class Expected:
    asked: RequestDescription
    fields: dict[str, str]
    landing: str


def expectations(path: Path) -> Iterator[Expected]:
    for line in path.read_text().splitlines():
        if not line.startswith("#>"):
            continue
        found = EXPECTATION.fullmatch(line)
        assert found is not None, line
        method, host, uri, options, landing = found.groups()
        words = options.split()
        option_pairs = list(zip(words[::2], words[1::2], strict=True))
        fields = dict(value.split("=", 1) for word, value in option_pairs if word == "with")
        client = next((value for word, value in option_pairs if word == "from"), "127.0.0.1")
        listen = next((value for word, value in option_pairs if word == "at"), "")
        asked = RequestDescription(uri, "" if host == "-" else host, method or "GET", client, listen)
        yield Expected(asked, {name.lower(): value for name, value in fields.items()}, landing)


def route_and_describe(router: Router, expected: Expected) -> str:
    asked = expected.asked
    listen = asked.listen or next(iter(router.listeners))
    host = normalise_optional_host(asked.host)
    target = parse_target(asked.uri, router.server_of(listen, host).row.merge_slashes)
    port = int(listen.rpartition(":")[2])
    request = Request(asked.method, target, host, expected.fields, asked.client_address, server_port=port)
    return describe_landing(router.route(listen, request))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_corpus_file_is_routed_or_refused_as_its_comments_expect(path: Path) -> None:
    refused = {tuple(line[3:].split()) for line in path.read_text().splitlines() if line.startswith("#!")}
    expected = list(expectations(path))
    assert bool(refused) != bool(expected), "a file has landings or refusals"
    if refused:
        with pytest.raises(NginxConfigError) as caught:
            import_site(str(path))
        lines = str(caught.value).splitlines()
        reported = {tuple(line.removeprefix(f"{path}:").split(": ")[:2]) for line in lines}
        assert reported == refused, str(caught.value)
        return
    site = import_site(str(path))
    assert read_site(write_site(site)) == site
    router = Router(site)
    found = [(str(each.asked), route_and_describe(router, each)) for each in expected]
    assert found == [(str(each.asked), each.landing) for each in expected]


def test_the_corpus_has_at_least_60_files_and_150_expected_landings() -> None:
    assert len(FILES) >= 60
    assert sum(len(list(expectations(path))) for path in FILES) >= 150


# A reference implementation of the search: it follows the steps of nginx's documentation over the table rows,
# without an index or compilation.


@dataclass
class ReferenceSearch:
    """The location search as ngx_http_core_module, "location", describes it."""

    uri: str

    def search(self, rows: list[LocationRow]) -> tuple[LocationRow | None, bool]:
        """Returns the location, and whether the search has ended by an exact match or a regex match."""
        for row in rows:
            if row.modifier == "=" and row.pattern == self.uri:
                return row, True
        prefix = self.longest_prefix(rows)
        remembered = prefix
        if prefix is not None:
            inner, is_over = self.search(prefix.locations)
            if is_over:
                return inner, True
            remembered = inner or prefix
        if prefix is not None and prefix.modifier == "^~":
            return remembered, False
        for row in rows:
            if row.modifier in ("~", "~*") and self.matches(row):
                inner, _ = self.search(row.locations)
                return inner or row, True
        return remembered, False

    def longest_prefix(self, rows: list[LocationRow]) -> LocationRow | None:
        longest: LocationRow | None = None
        for row in rows:
            if row.modifier in ("", "^~") and self.uri.startswith(row.pattern):
                longest = row if longest is None or len(row.pattern) > len(longest.pattern) else longest
        return longest

    def matches(self, row: LocationRow) -> bool:
        flags = re.IGNORECASE if row.modifier == "~*" else 0
        return re.search(row.pattern, self.uri, flags) is not None


SEGMENTS = st.sampled_from(("a", "b", "ab", "A", "a.x", "b.y", ""))
PATHS = st.lists(SEGMENTS, min_size=0, max_size=4).map(lambda segments: "/" + "/".join(segments))
REGEXES = st.sampled_from((r"\.x$", "a", "^/a", "^/ab/", r"\.(x|y)$", "b/", "A", "^/$", "a.*b", "//"))


def location_trees(
    depth: int, below: str = "/", in_regex: bool = False
) -> st.SearchStrategy[list[LocationRow]]:
    def build(drawn: list[tuple[str, str, str, list[LocationRow]]]) -> list[LocationRow]:
        seen, rows = set(), list[LocationRow]()
        for modifier, path, regex, inner in drawn:
            is_regex = modifier in ("~", "~*")
            pattern = regex if is_regex else below + path[1:]
            identity = ("" if modifier == "^~" else modifier, pattern)
            if (in_regex and not is_regex) or (not is_regex and identity in seen):
                continue
            seen.add(identity)
            nested = [
                row
                for row in inner
                if row.modifier in ("~", "~*") or (not is_regex and row.pattern.startswith(pattern))
            ]
            step = StepRow(op="return", defined_at="-", status=200, value="x")
            rows.append(
                LocationRow(
                    defined_at=f"{depth}:{len(rows)}:{modifier}{pattern}",
                    modifier=modifier,
                    pattern=pattern,
                    steps=[step],
                    locations=[] if modifier == "=" else nested,
                )
            )
        return rows

    inner = location_trees(depth - 1) if depth else st.just([])
    row = st.tuples(st.sampled_from(("", "", "=", "^~", "~", "~*")), PATHS, REGEXES, inner)
    return st.lists(row, max_size=5).map(build)


def check_agreement(locations: list[LocationRow], uri: str) -> None:
    server = ServerRow(defined_at="-", listens=[ListenRow(address="*:80")], locations=locations)
    router = Router(Site(servers=[server]))
    compiled = router.listeners["*:80"].default_server
    assert compiled is not None
    target = parse_target(uri)
    search = LocationSearch(RequestState(Request("GET", target), target.path, ""))
    search.run(compiled.locations)
    reference, _ = ReferenceSearch(target.path).search(locations)
    assert (search.best.row if search.best else None) == reference, (uri, locations)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(locations=location_trees(2), uris=st.lists(PATHS, min_size=1, max_size=4))
def test_the_compiled_search_agrees_with_the_reference_search(
    locations: list[LocationRow], uris: list[str]
) -> None:
    for uri in uris:
        check_agreement(locations, uri)


def test_the_reference_search_depends_on_the_order_of_regexes() -> None:
    """Shows that the agreement check can fail: reversed regexes give the reference another location."""
    rows = [LocationRow(defined_at=p, modifier="~", pattern=p, upstream="u") for p in ("a", "b")]
    assert ReferenceSearch("/ab").search(rows)[0] != ReferenceSearch("/ab").search(rows[::-1])[0]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    name=st.sampled_from([path.name for path in FILES]),
    edits=st.lists(
        st.tuples(st.integers(0, 2_000), st.sampled_from((*"{};\"'\\$~ =\n#\0\xff", "location", "if"))),
        min_size=1, max_size=4,
    ),
)  # fmt: skip
def test_a_corrupted_file_raises_no_other_error_than_nginx_config_error(
    name: str, edits: list[tuple[int, str]]
) -> None:
    text = (CORPUS / name).read_text().replace("include ", "set ")
    for position, replacement in edits:
        position %= len(text)
        text = text[:position] + replacement + text[position + 1 :]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "f.conf"
        path.write_bytes(text.encode("latin-1", "replace"))
        try:
            Router(import_site(str(path)))
        except NginxConfigError as error:
            assert all(re.match(r".+:\d+: \S+", line) for line in str(error).splitlines()), str(error)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(raw=st.text(st.sampled_from("/.%2ef0aA?#\x00\x7f b"), max_size=12))
def test_a_target_is_normalised_or_refused(raw: str) -> None:
    try:
        target = parse_target("/" + raw)
    except RequestTargetError:
        return
    parts = target.path.split("/")
    assert target.path.startswith("/") and "." not in parts and ".." not in parts and "//" not in target.path


def test_split_clients_hash_is_murmur2() -> None:
    # Compares with a second implementation of the published algorithm, for lengths that are multiples of the
    # word size of four bytes and for lengths that are not.
    assert [murmur2(b""), murmur2(b"a"), murmur2(b"abcd")] == [
        reference_murmur2(b""),
        reference_murmur2(b"a"),
        reference_murmur2(b"abcd"),
    ]
    for size in range(40):
        data = bytes(range(size))
        assert murmur2(data) == reference_murmur2(data)


def reference_murmur2(data: bytes) -> int:
    m, h = 0x5BD1E995, len(data)
    words, rest = divmod(len(data), 4)
    for n in range(words):
        k = sum(data[4 * n + i] << (8 * i) for i in range(4)) * m % 2**32
        h = (h * m % 2**32) ^ ((k ^ (k >> 24)) * m % 2**32)
    for i in range(rest):
        h ^= data[4 * words + i] << (8 * i)
    h = h * m % 2**32 if rest else h
    h = (h ^ (h >> 13)) * m % 2**32
    return h ^ (h >> 15)


def test_an_accepted_loss_is_recorded_in_the_table() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "f.conf"
        path.write_text(
            "server {\n listen 80;\n location / { root /x; }\n location /a { expires 1d; return 200; }\n}\n"
        )
        with pytest.raises(
            NginxConfigError, match=r"f\.conf:3: files: .*\n.*f\.conf:4: expires: .*--allow expires"
        ):
            import_site(str(path))
        site = import_site(str(path), ["files", "expires"])
        assert sorted(loss.partition(": ")[0][-2:] for loss in site.losses) == [":3", ":4"]
        assert "expires 1d" in write_site(site)
        path.write_text(
            "upstream a { server 127.0.0.1:1; }\nserver {\n location @app { proxy_pass http://a; }\n"
            " location / { try_files $uri @app; }\n location /c { try_files $uri =410; }\n"
            " location /d { try_files $uri /x?y=$uri; }\n location /x { proxy_pass http://a/z; }\n}\n"
        )
        router = Router(import_site(str(path), ["try_files"]))
        descriptions = [
            describe_landing(route_request(router, RequestDescription(uri))) for uri in ("/q?r=1", "/c", "/d")
        ]
        assert descriptions == ["upstream a /q?r=1", "answer 410", "upstream a /z?y=/d"]
        path.write_text("server {\n location / { auth_basic x; return 200; }\n}\n")
        with pytest.raises(NginxConfigError, match="its loss can't be accepted"):
            import_site(str(path), ["auth_basic"])


def test_an_invalid_table_is_refused_with_the_key_or_reason() -> None:
    text = write_site(import_site(str(FILES[0])))
    for old, new, reason in (
        ("version", "verzion", "verzion: no such setting"),
        ('address = "127.0.0.1:1"', "address = 1", r"upstreams\[0\]\.boxes\[0\]\.address: expected `str`"),
        ("[[", "[", "not valid TOML|expected"),
    ):
        text_with_version = ("version = 1\n" + text) if old == "version" else text
        with pytest.raises(ConfigError, match=reason):
            read_site(text_with_version.replace(old, new))
    with pytest.raises(ConfigError, match="version: written in version 9"):
        read_site("version = 9")


def test_explain_lists_the_routing_steps_and_moved_requests_the_differences() -> None:
    site = import_site(str(CORPUS / "64-auction-site.conf"))
    router = Router(site)
    lines = explain(router, RequestDescription("/sale/7/a.mp4", "auction.example"))
    traced_locations = [line.partition("  [")[0].strip() for line in lines if line.startswith("  location")]
    assert traced_locations == [
        "location /sale/: the longest prefix here", "location /lots/: the longest prefix here",
        "location ~ \\.(?:mp4|webm)$: matches",
    ]  # fmt: skip
    assert lines[-1].startswith("=> upstream media /lots/7/a.mp4 by location ~ \\.(?:mp4|webm)$")
    server = site.servers[0]
    changed_server = with_upstream(server, "/api/bid", "pages")
    changed_router = Router(with_first_server(site, changed_server))
    requests = parse_requests(
        ["# bids", "POST auction.example /api/bid/1", "auction.example /lots/1", "/health"]
    )
    assert [
        (moved.request.uri, moved.previous, moved.current)
        for moved in moved_requests(router, changed_router, requests)
    ] == [("/api/bid/1", "upstream bids /api/bid/1", "upstream pages /api/bid/1")]
    with pytest.raises(ConfigError, match="line 1"):
        parse_requests(["GET example.com /a more"])


def with_upstream(server: ServerRow, pattern: str, upstream: str) -> ServerRow:
    import msgspec

    changed_rows = [
        msgspec.structs.replace(location, upstream=upstream) if location.pattern == pattern else location
        for location in server.locations
    ]
    return msgspec.structs.replace(server, locations=changed_rows)


def with_first_server(site: Site, server: ServerRow) -> Site:
    import msgspec

    return msgspec.structs.replace(site, servers=[server, *site.servers[1:]])


def test_the_docs_have_the_generated_page_and_every_handling_is_used() -> None:
    text = (CORPUS.parent.parent / "docs" / "nginx-directives.md").read_text()
    assert directives_page() in text, "generate the page again: python -m gladewalk.nginx.directives"
    assert {policy.handling for policy in DIRECTIVES.values()} == set(Handling)


def test_the_command_line_routes_imports_compares_and_rehearses() -> None:
    def run(*words: str) -> tuple[int, str, str]:
        completed = subprocess.run(
            [sys.executable, "-m", "gladewalk", *words],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return completed.returncode, completed.stdout, completed.stderr

    file = str(CORPUS / "64-auction-site.conf")
    code, out, _ = run("route", file, "/lots/raw/a.mp4", "--host", "auction.example")
    assert (code, out.splitlines()[-1].split("  [")[0]) == (0, "=> answer 403 by location ^~ /lots/raw/")
    with tempfile.TemporaryDirectory() as folder:
        table = Path(folder) / "site.toml"
        code, out, err = run("import", file)
        table.write_text(out)
        assert code == 0 and "64-auction-site.conf:7: least_conn" in err
        uris = Path(folder) / "uris"
        uris.write_text("auction.example /lots/raw/a\nold.example /x\n")
        assert run("import", file, "--diff", str(table), "--uris", str(uris))[:2] == (0, "")
        table.write_text(out.replace("301", "302"))
        code, out, _ = run("import", file, "--diff", str(table), "--uris", str(uris))
        assert (code, out.count("\n")) == (1, 1) and "old.example /x" in out
    code, out, err = run("import", str(CORPUS / "53-auth-refused.conf"))
    assert (code, out) == (2, "") and "53-auth-refused.conf:5: auth_basic" in err
    assert run("route", file, "no-uri")[0] == 2
    code, out, _ = run(
        "rehearse", file, "/lots/7/a.mp4", "/lots/raw/x", "/health", "--host", "auction.example"
    )
    assert code == 0
    assert [line.rpartition("; ")[2][:14] for line in out.splitlines()] == [
        "200 from media", "403 from the d", "200 from the d",
    ]  # fmt: skip
