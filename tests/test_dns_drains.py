"""Names of addresses follow the list of servers: what drains or is gone is not answered with an address."""

import asyncio

import dns.message
import dns.name
import dns.rcode

from gladewalk.dns.names import address_name
from gladewalk.dns.settings import DnsConfig
from gladewalk.rehearsal.director_harness import DirectorHarness, wait_until
from gladewalk.rehearsal.resolver import StubResolver
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import hit

ORIGIN = dns.name.from_text("cdn.example.")
DRAINED_HOST = "127.0.3.2"


def test_the_name_of_an_address_is_not_answered_while_its_cache_drains_or_is_gone() -> None:
    """Guards against clients that come to a drained cache by the target of an earlier SRV answer."""

    async def scenario() -> list[tuple[str, bool]]:
        caches = [ScriptedServer(hit, uid="c0", host="127.0.3.1")]
        caches.append(ScriptedServer(hit, uid="c1", host=DRAINED_HOST))
        config = DnsConfig(("127.0.0.1", 0), ORIGIN, "127.0.0.1", 1_000.0)
        async with DirectorHarness(caches, dns=config) as harness:
            assert harness.director is not None and harness.director.dns is not None
            resolver = StubResolver(harness.director.dns.address)
            await wait_until(lambda: bool(harness.coordinator.followed_from))
            feed, answers = harness.director.endpoint_feed, []
            for state in ("SERVING", "DRAINING", "SERVING", "DELETED", "SERVING"):
                caches[1].state = state
                harness.coordinator.publish_endpoints(caches[1])
                await wait_until(lambda: feed.last_index == len(harness.coordinator.events))
                reply = await resolver.query(dns.message.make_query(address_name(DRAINED_HOST, ORIGIN), "A"))
                answers.append((dns.rcode.to_text(reply.rcode()), bool(reply.answer)))
            return answers

    served, draining, gone = ("NOERROR", True), ("NOERROR", False), ("NXDOMAIN", False)
    assert asyncio.run(scenario()) == [served, draining, served, gone, served]
