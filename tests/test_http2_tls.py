"""HTTP/2 over TLS: ALPN, certificates and their reload, over loopback."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import pytest
import trustme

from gladewalk.config.options import Options
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_http2_server import Http2Request, ScriptedHttp2Server
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from gladewalk.rehearsal.write_soak import ticket

from .http2_rehearsal import (
    BYTES,
    PATIENT_MS,
    async_test,
    certificate_authority,
    counters_of,
    options_for,
    read,
    rehearse,
    serve,
    serve_http1,
    server_context,
    write,
)

ROOT = Path(__file__).parent.parent


class TlsFiles:
    """A folder with the CA's certificate, and options whose `[tls]` table names it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ca = folder / "ca.pem"
        certificate_authority().cert_pem.write_to_path(str(self.ca))

    def options(self, **more: str) -> Options:
        return options_for("tls", {"ca": str(self.ca), "name": "{uid}.caches.example", **more})


@pytest.fixture
def tls(tmp_path: Path) -> TlsFiles:
    return TlsFiles(tmp_path)


@async_test
async def test_alpn_selects_h2_and_the_name_in_the_certificate_is_verified(tls: TlsFiles) -> None:
    good = ScriptedHttp2Server(serve, tls=server_context("c1.caches.example"))
    async with rehearse(good, options=tls.options()) as rehearsal:
        assert (await rehearsal.fetch())[2] == BYTES
    assert (good.connections, good.received[0].headers[":scheme"]) == (1, "https")
    bad = ScriptedHttp2Server(serve, tls=server_context("c2.caches.example"))
    async with rehearse(bad, options=tls.options()) as rehearsal:
        assert (await rehearsal.fetch())[0] == 503
        assert counters_of(rehearsal)["tls.certificates_refused"] >= 1
    assert bad.received == []


@async_test
async def test_http1_over_tls_is_used_for_a_server_that_selects_it(tls: TlsFiles) -> None:
    server = ScriptedServer(serve_http1, tls=server_context("c1.caches.example", alpn=("http/1.1",)))
    async with rehearse(server, options=tls.options()) as rehearsal:
        for n in range(3):
            assert (await read(rehearsal, n))[2] == BYTES
        assert counters_of(rehearsal)["h2.fallbacks"] == 1
    assert len(server.received) == 3


@async_test
async def test_a_client_certificate_is_sent_if_it_is_configured(tls: TlsFiles) -> None:
    client_certificate = certificate_authority().issue_cert("director.example")
    client_certificate.private_key_pem.write_to_path(str(tls.folder / "key.pem"))
    client_certificate.cert_chain_pems[0].write_to_path(str(tls.folder / "own.pem"))
    with_certificate = tls.options(certificate=str(tls.folder / "own.pem"), key=str(tls.folder / "key.pem"))
    for options, status in ((with_certificate, 200), (tls.options(), 503)):
        server = ScriptedHttp2Server(serve, tls=server_context("c1.caches.example", client=True))
        async with rehearse(server, options=options, connect_timeout_ms=1_000.0) as rehearsal:
            assert (await rehearsal.fetch(wait_ms=PATIENT_MS))[0] == status


@async_test
async def test_sighup_reloads_the_files_and_an_invalid_one_changes_nothing(tls: TlsFiles) -> None:
    server = await ScriptedHttp2Server(serve, tls=server_context("c1.caches.example")).start()
    coordinator = await Coordinator().start()
    (tls.folder / "config.json").write_text(json.dumps(config_for([server], coordinator)))
    options_file, other_ca = tls.folder / "own.toml", trustme.CA()
    options_file.write_text("[http2]\nmode = 'tls'\n[tls]\nca = 'ca.pem'\nname = '{uid}.caches.example'\n")
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gladewalk", "run", "--config", str(options_file), cwd=ROOT,
        env={**os.environ, "NODE_CONFIG": str(tls.folder / "config.json")},
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    stderr = program.stderr
    assert stderr is not None

    async def logged(event: str) -> dict[str, Any]:
        while (line := json.loads(await stderr.readline()))["event"] != event:
            pass
        return dict(line)

    host, port = (await logged("serving"))["listen"]

    async def status(number: int) -> int:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(encode_request(f"/invoke/lot-page/{number:x}", trace=ticket(number)))
        received_status = int((await read_message(reader))[0].split(" ")[1])
        writer.close()
        return received_status

    assert await status(1) == 200
    for bad_certificate in (b"no certificate", b""):
        tls.ca.write_bytes(bad_certificate)
        program.send_signal(signal.SIGHUP)
        assert "tls.ca" in (await logged("configuration kept"))["why"]
        assert await status(2) == 200
    assert server.connections == 1  # the former files stay in force, and the connection stays open
    other_ca.cert_pem.write_to_path(str(tls.ca))  # a valid CA that did not issue the server's certificate
    program.send_signal(signal.SIGHUP)
    await logged("configuration taken")
    assert await status(3) == 503
    program.send_signal(signal.SIGTERM)
    counters = await logged("counters")
    assert await program.wait() == 0
    assert (counters["reloads.refused"], counters["reloads.done"]) == (2, 1)
    assert counters["tls.certificates_refused"] >= 1
    server.stop()
    coordinator.stop()


@async_test
async def test_writes_over_tls_are_retried_only_with_proof(tls: TlsFiles) -> None:
    def process_and_abort(request: Http2Request) -> None:
        request.process()
        request.connection.abort()

    server = ScriptedHttp2Server(process_and_abort, tls=server_context("c1.caches.example"))
    origin = ScriptedHttp2Server(serve, "o", "origin", "north", tls=server_context("o.caches.example"))
    async with rehearse(server, origin, options=tls.options()) as rehearsal:
        assert await write(rehearsal, 1) == 502
    assert len(server.received) == 1
