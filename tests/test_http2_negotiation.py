"""Which protocol is offered to a server, and fallbacks to HTTP/1.1, over loopback."""

from h2.errors import ErrorCodes

from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.scripted_http2_server import ScriptedHttp2Server
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .http2_rehearsal import (
    PATIENT_MS,
    async_test,
    counters_of,
    director_of,
    options_for,
    pool_of,
    read,
    rehearse,
    serve,
    serve_http1,
    write,
)


@async_test
async def test_a_server_that_speaks_only_http1_is_detected_before_any_request() -> None:
    server, origin = ScriptedServer(serve_http1), ScriptedServer(serve_http1, "o", "origin", "north")
    async with rehearse(server, origin) as rehearsal:
        assert await write(rehearsal, 1) == 200
        assert counters_of(rehearsal)["h2.fallbacks"] == 1
        assert await write(rehearsal, 2) == 200
        assert counters_of(rehearsal)["h2.fallbacks"] == 1  # the first fallback still applies
    assert [http1_request.method for http1_request in server.received if http1_request.method != "PRI"] == [
        "PUT",
        "PUT",
    ]


@async_test
async def test_http_1_1_required_causes_a_fallback_that_expires() -> None:
    server = ScriptedHttp2Server(lambda request: request.reset(ErrorCodes.HTTP_1_1_REQUIRED))
    other = ScriptedHttp2Server(serve, "c2", capacity=1e-6)
    async with rehearse(server, other) as rehearsal:
        assert (await rehearsal.fetch(wait_ms=PATIENT_MS))[0] == 200
        factory = pool_of(rehearsal).connection_factory
        assert factory is not None
        fallbacks = factory.negotiation.fallbacks
        assert fallbacks["c1"].reason == "HTTP_1_1_REQUIRED"
        assert pool_of(rehearsal).servers["c1"].group is None
        fallbacks["c1"].until_ms = 0.0
        server.script = serve
        director_of(rehearsal).exchange.dispatcher.state.registry.servers["c1"].backoff_until_ms = 0.0
        await wait_until(lambda: len(server.received) >= 1)
        for n in range(8):
            await read(rehearsal, n, wait_ms=PATIENT_MS)
        assert pool_of(rehearsal).servers["c1"].group is not None


@async_test
async def test_the_mode_of_a_uid_precedes_that_of_its_model() -> None:
    one, two = ScriptedHttp2Server(serve), ScriptedServer(serve_http1, "c2")
    options = options_for("off", by_model={"standard": "h2c"}, by_uid={"c2": "off"})
    async with rehearse(one, two, options=options) as rehearsal:
        for n in range(12):
            assert (await read(rehearsal, n))[0] == 200
        assert "h2.fallbacks" not in counters_of(rehearsal)
