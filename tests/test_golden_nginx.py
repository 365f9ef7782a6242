"""Golden bytes of the nginx importer, of its router and of the HTTP front.

`tests/golden/nginx.json` was captured from the program at 090a370. Tables (which operators keep in files),
refusals, landings, responses to clients and requests to servers must stay equal byte for byte.
`python -m tests.test_golden_nginx` captures the file again; only a deliberate change of a format needs that.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import chdir
from pathlib import Path
from typing import Any

import pytest

from gladewalk.nginx.directives import directives_page
from gladewalk.nginx.errors import NginxConfigError
from gladewalk.nginx.explain import RequestDescription, explain
from gladewalk.nginx.router import Router
from gladewalk.nginx.table import read_site, write_site
from gladewalk.nginx.translate import import_site
from gladewalk.rehearsal.scripted_servers import Http1Script, ReceivedRequest
from gladewalk.rehearsal.site_harness import SiteHarness

from .test_nginx import CORPUS, FILES, expectations, route_and_describe

GOLDEN = Path(__file__).parent / "golden" / "nginx.json"
ALLOWED = (
    "auth_basic", "expires", "files", "http2", "limit_req", "proxy_cookie_path", "ssl", "stub_status",
    "sub_filter", "try_files",
)  # fmt: skip
FRONT_SITE = """upstream a { server 127.0.0.1:1 weight=3 max_fails=2 fail_timeout=1m; }
upstream b { server 127.0.0.1:2 max_conns=9; }
upstream broken { server 127.0.0.1:3; }
upstream broken2 { server 127.0.0.1:5; }
upstream broken3 { server 127.0.0.1:6; }
upstream broken4 { server 127.0.0.1:7; }
upstream down { server 127.0.0.1:4 down; }
server { listen 8080; server_name example.com; client_max_body_size 1k;
  add_header X-From "$host" always; add_header X-Fine yes;
  location / { proxy_pass http://a; proxy_set_header Host $host; proxy_set_header X-Real $remote_addr;
    proxy_set_header X-Forwarded-For $proxy_add_x_forwarded_for; proxy_set_header Accept "";
    proxy_hide_header X-Hidden; proxy_cache_key "$host$uri"; proxy_cache_valid 200 1m; }
  location /p/ { proxy_pass http://a/s/; }
  location /b { proxy_pass http://b; proxy_redirect off; proxy_next_upstream http_503 non_idempotent; }
  location /broken { proxy_pass http://broken; }
  location /broken2 { proxy_pass http://broken2; }
  location /over { proxy_pass http://broken3; error_page 502 504 = @over; }
  location /page { proxy_pass http://broken4; error_page 502 /sorry; }
  location /sorry { internal; proxy_pass http://b; }
  location @over { proxy_pass http://b; }
  location /down { proxy_pass http://down; }
  location /text { return 200 "a text\\n"; }
  location /away { return 302 /text?to=$arg_to; }
  location /gone { return 410; }
  location /closed { return 444; }
  location /denied { deny all; proxy_pass http://a; }
  location /turn/ { rewrite ^/turn/(.*)$ /b/$1?x=1 last; }
}"""
HOST = b"Host: example.com\r\nConnection: close\r\n"
REQUESTS: dict[str, bytes] = {
    "get": b"GET /x?y=1 HTTP/1.1\r\n" + HOST + b"Accept: a/b\r\nCookie: c=d\r\nTE: trailers\r\n\r\n",
    "head": b"HEAD /x HTTP/1.1\r\n" + HOST + b"\r\n",
    "put": b"PUT /x HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\nX-Forwarded-For: 10.0.0.9\r\n\r\nbody",
    "post": b"POST /p/y HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n\r\nz",
    "post without a body": b"POST /b/y HTTP/1.1\r\n" + HOST + b"\r\n",
    "hop by hop": b"GET /hop HTTP/1.1\r\nHost: example.com\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\n\r\n",
    "range": b"GET /x HTTP/1.1\r\n" + HOST + b"Range: bytes=0-3\r\n\r\n",
    "not modified": b"GET /x HTTP/1.1\r\n" + HOST + b'If-None-Match: "e"\r\n\r\n',
    "chunked": b"GET /chunked HTTP/1.1\r\n" + HOST + b"\r\n",
    "until close": b"GET /close HTTP/1.1\r\n" + HOST + b"\r\n",
    "no content": b"GET /204 HTTP/1.1\r\n" + HOST + b"\r\n",
    "not found": b"GET /404 HTTP/1.1\r\n" + HOST + b"\r\n",
    "redirect": b"GET /p/redirect HTTP/1.1\r\n" + HOST + b"\r\n",
    "redirect off": b"GET /b/redirect HTTP/1.1\r\n" + HOST + b"\r\n",
    "busy": b"GET /b/503 HTTP/1.1\r\n" + HOST + b"\r\n",
    "broken": b"GET /broken HTTP/1.1\r\n" + HOST + b"\r\n",
    "broken post": b"POST /broken2 HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n\r\nz",
    "named error page": b"GET /over?y=1 HTTP/1.1\r\n" + HOST + b"\r\n",
    "error page": b"GET /page HTTP/1.1\r\n" + HOST + b"\r\n",
    "down": b"GET /down HTTP/1.1\r\n" + HOST + b"\r\n",
    "text": b"GET /text HTTP/1.1\r\n" + HOST + b"\r\n",
    "text head": b"HEAD /text HTTP/1.1\r\n" + HOST + b"\r\n",
    "away": b"GET /away?to=%0d%0aX:1 HTTP/1.1\r\n" + HOST + b"\r\n",
    "gone": b"GET /gone HTTP/1.1\r\n" + HOST + b"\r\n",
    "closed": b"GET /closed HTTP/1.1\r\n" + HOST + b"\r\n",
    "denied": b"GET /denied HTTP/1.1\r\n" + HOST + b"\r\n",
    "rewritten": b"GET /turn/a%20b HTTP/1.1\r\n" + HOST + b"\r\n",
    "internal": b"GET /sorry HTTP/1.1\r\n" + HOST + b"\r\n",
    "absolute": b"GET http://example.com/x?q HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n",
    "old": b"GET /x HTTP/1.0\r\n\r\n",
    "no host": b"GET /x HTTP/1.1\r\n\r\n",
    "two hosts": b"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "no such host": b"GET /x HTTP/1.1\r\nHost: a/b\r\n\r\n",
    "out of the root": b"GET /../x HTTP/1.1\r\n" + HOST + b"\r\n",
    "bad escape": b"GET /%zz HTTP/1.1\r\n" + HOST + b"\r\n",
    "connect": b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
    "too large": b"POST /x HTTP/1.1\r\n" + HOST + b"Content-Length: 1025\r\n\r\n" + b"x" * 1025,
    "far too large": b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n",
    "long head": b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    "noise": b"\x16\x03\x01\x02\x00\x01",
}
UNSTABLE_COUNTERS = ("coordinator.", "caches.connects")  # the number of new connections depends on timing


def import_result(path: Path, allowed: tuple[str, ...] = ()) -> dict[str, Any]:
    """Returns the importer's result for a corpus file: the table, or the refusals."""
    with chdir(path.parent):
        try:
            site = import_site(path.name, allowed)
        except NginxConfigError as error:
            return {"refused": str(error)}
    return {"table": write_site(site)}


def explained_landings(path: Path) -> dict[str, list[str]]:
    """Returns the landing and the explanation for each expectation of a corpus file."""
    with chdir(path.parent):
        try:
            router = Router(import_site(path.name))
        except NginxConfigError:
            return {}
    found: dict[str, list[str]] = {}
    for number, each in enumerate(expectations(path)):
        asked = each.asked
        description = RequestDescription(
            asked.uri, asked.host, asked.method, asked.client_address, asked.listen
        )
        found[f"{number} {asked}"] = [route_and_describe(router, each), *explain(router, description)]
    return found


async def respond_by_path(received: ReceivedRequest) -> None:
    """Responds by the path, the method and the fields of the request."""
    writer, path = received.writer, received.path
    if path.startswith("/chunked"):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
    elif path.startswith("/close"):
        writer.write(b"HTTP/1.0 200 OK\r\n\r\nto the end")
        await writer.drain()
        writer.close()
    elif path.startswith("/204"):
        writer.write(b"HTTP/1.1 204 No Content\r\nX-Empty: 1\r\n\r\n")
    elif path.startswith("/404"):
        await received.respond(404, b"none", Server="x")
    elif path.endswith("/503"):
        await received.respond(503, b"busy", Retry_After="9")
    elif path.endswith("/redirect"):
        await received.respond(302, b"", Location="http://a/s/there")
    elif "range" in received.headers:
        await received.respond(206, b"part", Content_Range="bytes 0-3/9", Connection="X-Hop", X_Hop="1")
    elif "if-none-match" in received.headers:
        writer.write(b'HTTP/1.1 304 Not Modified\r\nETag: "e"\r\n\r\n')
    elif received.method == "HEAD":
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")
    else:
        await received.respond(200, b"<" + received.body + b">", Set_Cookie="a=1", Server="x", X_Hidden="1")


async def abort_connection(received: ReceivedRequest) -> None:
    received.writer.transport.abort()


async def send_and_read(address: tuple[str, int], data: bytes) -> str:
    """Sends bytes on a new connection and returns all bytes received until it ends; "" if it is aborted."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return (await reader.read()).decode("latin-1")
    except ConnectionError:
        return ""
    finally:
        writer.close()


async def run_front(folder: Path) -> dict[str, Any]:
    """Sends the fixed requests one after the other; returns each response and the requests to servers."""
    (folder / "f.conf").write_text(FRONT_SITE)
    with chdir(folder):
        site = import_site("f.conf")
    found: dict[str, Any] = {}
    scripts: dict[str, Http1Script] = {"a/0": respond_by_path, "b/0": respond_by_path}
    # Each request to a broken server has an upstream of its own, as a server is in backoff after its failure.
    scripts |= {f"broken{number}/0": abort_connection for number in ("", 2, 3, 4)}
    async with SiteHarness(site, scripts) as harness:
        for name, data in REQUESTS.items():
            for server in harness.servers.values():
                server.received.clear()
            text = await send_and_read(harness.address(), data)
            sent = [
                [
                    server.uid,
                    received.method,
                    received.path,
                    [*received.headers.items()],
                    received.body.decode("latin-1"),
                ]
                for server in harness.servers.values()
                for received in server.received
            ]
            found[name] = {"answer": text, "sent": sent}
        assert harness.director is not None
        counters = harness.director.counters.report()
        found["counters"] = {
            name: value for name, value in sorted(counters.items()) if not name.startswith(UNSTABLE_COUNTERS)
        }
    decoded: dict[str, Any] = json.loads(json.dumps(found))
    return decoded


def load_golden() -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads(GOLDEN.read_text(encoding="utf-8"))
    return loaded


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_corpus_file_is_imported_to_the_same_bytes(path: Path) -> None:
    captured = load_golden()
    assert import_result(path) == captured["imported"][path.name]
    assert import_result(path, ALLOWED) == captured["imported with losses"][path.name]


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_captured_table_is_read_and_written_again_to_the_same_bytes(path: Path) -> None:
    for captured in ("imported", "imported with losses"):
        if (text := load_golden()[captured][path.name].get("table")) is not None:
            assert write_site(read_site(text)) == text


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_expected_landing_has_the_same_explanation(path: Path) -> None:
    assert explained_landings(path) == load_golden()["landings"][path.name]


def test_the_page_of_directives_is_the_same() -> None:
    assert directives_page() == load_golden()["page"]


def test_the_front_sends_the_same_responses_and_requests(tmp_path: Path) -> None:
    assert asyncio.run(run_front(tmp_path)) == load_golden()["front"]


def capture_all(folder: Path) -> dict[str, Any]:
    return {
        "imported": {path.name: import_result(path) for path in FILES},
        "imported with losses": {path.name: import_result(path, ALLOWED) for path in FILES},
        "landings": {path.name: explained_landings(path) for path in FILES},
        "page": directives_page(),
        "front": asyncio.run(run_front(folder)),
    }


if __name__ == "__main__":
    import tempfile

    assert FILES and FILES[0].parent == CORPUS
    with tempfile.TemporaryDirectory() as folder:
        text = json.dumps(capture_all(Path(folder)), indent=1, sort_keys=True) + "\n"
    GOLDEN.write_text(text, encoding="utf-8")
