"""Dials: those given up before they begin, and what a leaving client does to what is not yet written."""

import unittest

from gladewalk.rehearsal.peers import Rehearsal, ScriptedPeer, request, until

from .test_net import hit


class SameTurn(unittest.IsolatedAsyncioTestCase):
    async def test_a_dial_given_up_before_its_first_step_holds_no_descriptor(self) -> None:
        cache = ScriptedPeer(hit)
        async with Rehearsal([cache]) as world:
            director = world.director
            assert director is not None
            await until(lambda: director.readiness.synced)
            _, writer = await world.client()
            await until(lambda: len(director.front.connections) == 1)
            (connection,) = director.front.connections
            for _ in range(5):
                connection.data_received(request("/invoke/lot-page/a1"))
                assert connection.number is not None
                number, connection.number = connection.number, None
                connection._release()
                director.exchange.gone(number)  # no turn of the loop in between
            await until(lambda: not director.exchange.taken)
            self.assertEqual(director.counters["caches.connects"], 5)
            await until(lambda: not director.caches.dialling, 2.0)
            writer.close()
            self.assertEqual((await world.ask())[0], 200)
