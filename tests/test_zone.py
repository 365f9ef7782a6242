"""Zone lookup, settings files, cookies and limits, without sockets."""

import random
import tempfile
import unittest
from pathlib import Path

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype

from gladewalk.config.platform import ConfigError
from gladewalk.dns.cookies import MAX_AGE_SECONDS, CookieStatus, ServerCookies
from gladewalk.dns.limits import (
    LoopTimeBudget,
    RateDecision,
    ResponseRateLimiter,
    TokenBuckets,
    client_network,
)
from gladewalk.dns.names import NamingRules
from gladewalk.dns.settings import load_dns, load_records
from gladewalk.dns.zone import LookupResult, LookupStatus, Zone, ZoneApex, closest_zone

ORIGIN = dns.name.from_text("cdn.example.")
RECORDS = """
www     60 IN A 192.0.2.1
www     60 IN A 192.0.2.2
alias   60 IN CNAME www
far     60 IN CNAME www.elsewhere.example.
loop1   60 IN CNAME loop2
loop2   60 IN CNAME loop1
to-lot  60 IN CNAME 0.a1.lot-page
sub     60 IN NS ns.sub
sub     60 IN DS 1 8 2 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
ns.sub  60 IN A 192.0.2.53
deep.er.still 60 IN TXT "x"
*.wild  60 IN TXT "any"
*.wild  60 IN A 192.0.2.9
real.wild 60 IN A 192.0.2.8
a.b.wild 60 IN A 192.0.2.7
lot-page 60 IN TXT "a class"
"""


def make_zone(origin: dns.name.Name = ORIGIN) -> Zone:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "zone"
        path.write_text(RECORDS)
        records = [entry.rrset for entry in load_records(path, (origin,))]
    rules = NamingRules(
        frozenset({"lot-page", "bid"}), frozenset({"bid"}), lambda address: address == "192.0.2.77"
    )
    servers = {"ns1": ["192.0.2.53", "2001:db8::53"], "ns.other.example.": []}
    return Zone(ZoneApex(origin, servers, "hostmaster", 7, 5), rules, "192.0.2.99", records)


class ZoneLookupTest(unittest.TestCase):
    zone = make_zone()

    def look_up(self, text: str, rdtype: str = "A") -> LookupResult:
        return self.zone.lookup(dns.name.from_text(text, ORIGIN), dns.rdatatype.from_text(rdtype))

    def answer_texts(self, result: LookupResult) -> list[str]:
        return [f"{r.name.relativize(ORIGIN)} {rdata}" for r in result.answer for rdata in r]

    def test_lookups_follow_rfc_1034(self) -> None:
        for text, rdtype, expected in (
            ("www", "A", LookupStatus.ANSWER),
            ("www", "MX", LookupStatus.NODATA),
            ("er.still", "A", LookupStatus.NODATA),
            ("still", "A", LookupStatus.NODATA),
            ("nothing.still", "A", LookupStatus.NXDOMAIN),
            ("lot-page", "TXT", LookupStatus.ANSWER),
            ("lot-page", "A", LookupStatus.NODATA),
            ("a1.lot-page", "A", LookupStatus.NODATA),
            ("0.a1.lot-page", "A", LookupStatus.ROUTED),
            ("_http._tcp.0.a1.lot-page", "SRV", LookupStatus.ROUTED),
            ("0.zz.lot-page", "A", LookupStatus.NXDOMAIN),
            ("anything.bid", "A", LookupStatus.ANSWER),
            ("deeper.anything.bid", "A", LookupStatus.ANSWER),
            ("a1.bid", "A", LookupStatus.NODATA),
            ("x.a1.bid", "A", LookupStatus.NXDOMAIN),
            ("b-c000024d", "A", LookupStatus.ANSWER),
            ("b-c000024e", "A", LookupStatus.NXDOMAIN),
            ("sub", "A", LookupStatus.REFERRAL),
            ("a.b.sub", "TXT", LookupStatus.REFERRAL),
            ("sub", "NS", LookupStatus.REFERRAL),
            ("sub", "DS", LookupStatus.ANSWER),
            ("loop1", "A", LookupStatus.ANSWER),
            ("www", "ANY", LookupStatus.ANSWER),
        ):
            self.assertEqual(self.look_up(text, rdtype).status, expected, (text, rdtype))

    def test_a_referral_has_servers_and_glue(self) -> None:
        result = self.look_up("x.sub")
        self.assertEqual([str(r.name) for r in result.authority], ["sub.cdn.example."])
        self.assertEqual([str(r.name) for r in result.additional], ["ns.sub.cdn.example."])

    def test_a_wildcard_applies_below_its_closest_encloser_only(self) -> None:
        self.assertEqual(self.answer_texts(self.look_up("some.wild")), ["some.wild 192.0.2.9"])
        self.assertEqual(self.answer_texts(self.look_up("more.some.wild")), ["more.some.wild 192.0.2.9"])
        # The name itself exists.
        self.assertEqual(self.look_up("real.wild", "TXT").status, LookupStatus.NODATA)
        self.assertEqual(self.look_up("b.wild").status, LookupStatus.NODATA)  # an empty non-terminal
        # The closest encloser, b.wild, has no wildcard.
        self.assertEqual(self.look_up("x.b.wild").status, LookupStatus.NXDOMAIN)
        self.assertEqual(self.look_up("some.wild", "MX").status, LookupStatus.NODATA)

    def test_cnames_are_followed_within_the_zone_only(self) -> None:
        www = ["www 192.0.2.1", "www 192.0.2.2"]
        self.assertEqual(
            self.answer_texts(self.look_up("alias"))[:1]
            + sorted(self.answer_texts(self.look_up("alias"))[1:]),
            ["alias www.cdn.example.", *www],
        )
        self.assertEqual(self.answer_texts(self.look_up("far")), ["far www.elsewhere.example."])
        self.assertEqual(self.answer_texts(self.look_up("alias", "CNAME")), ["alias www.cdn.example."])
        self.assertLessEqual(len(self.look_up("loop1").answer), 9)
        routed = self.look_up("to-lot")
        self.assertEqual((routed.status, len(routed.answer)), (LookupStatus.ROUTED, 1))
        self.assertEqual(str(routed.owner), "0.a1.lot-page.cdn.example.")

    def test_the_apex_has_ns_records_and_the_deepest_zone_answers(self) -> None:
        result = self.look_up("@", "NS")
        self.assertEqual((len(result.answer[0]), len(result.additional)), (2, 2))
        inner_zone = make_zone(dns.name.from_text("in.cdn.example."))
        self.assertIs(
            closest_zone([self.zone, inner_zone], dns.name.from_text("x.in.cdn.example.")), inner_zone
        )
        self.assertIsNone(closest_zone([self.zone], dns.name.from_text("example.")))

    def test_an_invalid_file_is_rejected_with_its_fault(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "zone"
            for text, message in (
                ("www IN A 1.2.3", "dns.records: "),
                ("@ 60 IN NS x", "the apex has its SOA and NS"),
                ("x.other. 60 IN A 192.0.2.1", "is not below"),
                ("x 60 IN CNAME y\nx 60 IN A 192.0.2.1", "dns.records: "),
            ):
                path.write_text(text + "\n")
                with self.assertRaisesRegex(ConfigError, message):
                    load_records(path, (ORIGIN,))
            settings_path = Path(folder) / "dns.toml"
            for text, message in (
                ("listen = '127.0.0.1:0'\nzone = 'a..b'", "dns.zone: "),
                ("listen = '127.0.0.1:0'\nzone = 'z.'\nslip = -1", "slip: "),
                ("listen = '127.0.0.1:0'\nzone = 'z.'\nzones = ['z.']", "dns.zones: "),
                ("listen = '127.0.0.1:0'\nzone = 'z.'\ncookies = 'none'", "dns.cookies: "),
                ("listen = '127.0.0.1:0'\nzone = 'z.'\ntls_listen = '127.0.0.1:0'", "dns.tls_certificate: "),
                ("listen = '127.0.0.1:0'\nzone = 'z.'\necs_from = ['x']", "dns.ecs_from: "),
                ("listen = '127.0.0.1:0'\nzone = 'z.'\n[nameservers]\nns = ['x']", "dns.nameservers: "),
            ):
                settings_path.write_text(text + "\n")
                with self.assertRaisesRegex(ConfigError, message):
                    load_dns(str(settings_path), "127.0.0.1")


class CookiesAndLimitsTest(unittest.TestCase):
    def test_the_cookie_of_rfc_9018_is_generated_and_verified(self) -> None:
        """Appendix A.1: client 2464c4abcf10c957, 198.51.100.100, 1559731985."""
        cookies = ServerCookies((bytes.fromhex("e5e973e5a6b2a43f48e7dc849e37bfcf"),))
        client_cookie, now_s, address = bytes.fromhex("2464c4abcf10c957"), 1_559_731_985.0, "198.51.100.100"
        server_cookie = cookies.generate(client_cookie, address, now_s)
        self.assertEqual(server_cookie.hex(), "010000005cf79f111f8130c3eee29480")
        self.assertIs(
            cookies.verify(client_cookie, server_cookie, address, now_s + MAX_AGE_SECONDS), CookieStatus.VALID
        )
        self.assertIs(
            cookies.verify(client_cookie, server_cookie, address, now_s + MAX_AGE_SECONDS + 1),
            CookieStatus.INVALID,
        )
        self.assertIs(
            cookies.verify(client_cookie, server_cookie, address, now_s - 301), CookieStatus.INVALID
        )
        self.assertIs(
            cookies.verify(client_cookie, server_cookie, "198.51.100.101", now_s), CookieStatus.INVALID
        )
        self.assertIs(
            cookies.verify(client_cookie[::-1], server_cookie, address, now_s), CookieStatus.INVALID
        )
        self.assertEqual(
            cookies.renew(client_cookie, server_cookie, CookieStatus.VALID, address, now_s + 60),
            server_cookie,
        )
        self.assertNotEqual(
            cookies.renew(client_cookie, server_cookie, CookieStatus.VALID, address, now_s + 2_000),
            server_cookie,
        )
        rotated = ServerCookies((b"n" * 16, *cookies.keys))
        self.assertIs(rotated.verify(client_cookie, server_cookie, address, now_s), CookieStatus.VALID)
        self.assertNotEqual(rotated.generate(client_cookie, address, now_s), server_cookie)
        self.assertIs(
            ServerCookies((b"n" * 16,)).verify(client_cookie, server_cookie, address, now_s),
            CookieStatus.INVALID,
        )

    def test_a_token_bucket_keeps_its_rate(self) -> None:
        rng, buckets, now = random.Random(1), TokenBuckets(10.0, 5.0, 3), 0.0
        taken_count = 0
        for _ in range(5_000):
            now += rng.expovariate(0.05)
            taken_count += buckets.try_take("a", now)
        self.assertLessEqual(taken_count, 5 + now / 100.0)
        self.assertGreater(taken_count, 0.9 * now / 100.0)
        for n in range(10):
            buckets.try_take(n, now)
        self.assertEqual(len(buckets.buckets), 3)

    def test_a_flood_is_bounded_by_the_loop_time_budget(self) -> None:
        for cost_ms in (0.1, 0.7, 5.0):
            budget, now, worked_ms = LoopTimeBudget(0.3), 1e6, 0.0
            for _ in range(2_000):
                now += cost_ms
                worked_ms += cost_ms
                now += budget.charge(cost_ms, now)
            self.assertTrue(0.28 < worked_ms / (now - 1e6) < 0.32, cost_ms)
        budget = LoopTimeBudget(0.3)
        self.assertTrue(all(budget.charge(0.7, 1e6 + n * 10.0) == 0.0 for n in range(1_000)))

    def test_like_responses_above_the_rate_are_dropped_or_slipped(self) -> None:
        limiter = ResponseRateLimiter(5.0, 2)
        decisions = [limiter.decide("n", "x", 0.0) for _ in range(9)]
        self.assertEqual(decisions[:5], [RateDecision.SEND] * 5)
        self.assertEqual(
            decisions[5:], [RateDecision.DROP, RateDecision.SLIP, RateDecision.DROP, RateDecision.SLIP]
        )
        self.assertIs(limiter.decide("n", "y", 0.0), RateDecision.SEND)
        self.assertIs(limiter.decide("m", "x", 0.0), RateDecision.SEND)
        self.assertEqual(client_network("192.0.2.200"), "192.0.2.0/24")
        self.assertEqual(client_network("2001:db8:1:2ff::1"), "2001:db8:1:200::/56")
