"""Denials for the gatekeeper's own lateness: the model alone, the reducer, and a starved gatekeeper on the emulated
clock."""

import asyncio
import logging
import time
import unittest

from fernyard.clients import Taken
from fernyard.lab.scenario import BadScenario, load_scenario, parse_told
from fernyard.lab.virtual import VirtualLab
from fernyard.lateness import Lag, Lateness, LatenessSettings, Offered
from fernyard.log import Counts
from fernyard.node import Node
from fernyard.node.effects import Answer
from fernyard.node.reducer import Reducer
from fernyard.settings import read_config
from fernyard.settings.operator import read_operator
from tests.helper import CUSTOMER, HOST, PASSED, Sockets, configuration, entry, request

MS = 10


class Model(unittest.TestCase):
    def setUp(self):
        self.model, self.now = Lateness(LatenessSettings(), 1), 0

    def admitted(self, reqs=400, left=480, share=0.0, customer=5, apart=100):
        passed = 0
        for _ in range(reqs):
            self.now += apart * MS
            passed += self.model.step(self.now, Offered(customer, 1.0, left * MS, share))
        return passed / reqs

    def test_what_is_in_time_is_admitted_and_what_cannot_be_is_not(self):
        self.assertEqual(self.admitted(), 1.0)
        self.model.step(0, Lag(30 * MS))  # three turns of 30 ms in 480
        self.assertEqual(self.admitted(), 1.0)
        self.model.step(0, Lag(120 * MS))  # 360 of 480
        self.assertEqual(self.admitted(), 0.0)
        self.assertEqual(self.admitted(left=3000), 1.0)  # one with more time is

    def test_between_the_two_a_share_and_those_beyond_their_quota_first(self):
        self.model.step(0, Lag(72 * MS))  # 216 of 480: half way
        # 10 a second: within a share of 20 all, beyond one of 4 none.
        self.assertGreater(self.admitted(share=20.0, customer=6), 0.95)
        self.assertLess(self.admitted(share=4.0, customer=7), 0.1)
        self.model.step(0, Lag(88 * MS))
        self.assertAlmostEqual(self.admitted(share=20.0, customer=6), 0.6, delta=0.1)
        self.assertLess(self.admitted(share=4.0, customer=7), 0.05)  # the first few, until it is seen

    def test_a_larger_lag_counts_at_once_and_fades(self):
        for late, lag in ((100, 100), (0, 70), (0, 49), (200, 200)):
            self.model.step(0, Lag(late))
            self.assertAlmostEqual(self.model.lag, lag)

    def test_customers_remembered_are_bounded(self):
        for customer in range(21_000):
            self.model.step(1, Offered(customer, 1.0, 480 * MS, 1.0))
        self.assertEqual(len(self.model.use), 20_000)


class Reducing(unittest.TestCase):
    def test_a_req_denied_for_lateness_is_answered_once_and_told_to_nobody(self):
        config = read_config(configuration(workers=[entry("s-1", 9)]))
        lateness = Lateness(LatenessSettings(), 1)
        reducer = Reducer(config, Counts(), lateness=lateness)
        reducer.start(1000)
        reducer.reduce(1500, Lag(5000))
        effects = reducer.reduce(2000, Taken(1, "GET", f"/look%20up/{CUSTOMER}", [], b"", 0, 0, 5, 4000, 1.0, 1))
        self.assertEqual([(type(e), e.status, e.return_in) for e in effects], [(Answer, 429, 5000)])
        self.assertEqual((reducer.owed, reducer.held, reducer.gatekeeper.reqs), (0, {}, {}))
        self.assertEqual(reducer.counts.read(), {"taken": 1, "denied_late": 1, "answered.429": 1})


class Starved(Sockets):
    async def test_a_loop_that_is_blocked_denies_and_answers_each_once(self):
        # The loop is blocked for 0.3 s of each 0.35 s while reqs with 0.4 s left come in.
        worker = await self.stand_in(lambda message: PASSED)
        silent = await self.stand_in(lambda message: None)
        config = self.config(workers=[entry("s-0", worker.port)], discovery=silent.port)
        operator = read_operator({"lateness": {}})
        node = Node(
            config.__class__(**{**{f: getattr(config, f) for f in config.__slots__}, "listen": (HOST, 0)}),
            operator=operator,
        )
        self.running = asyncio.get_running_loop().create_task(node.run())
        self.addAsyncCleanup(self.end, self.running)
        await self.until(lambda: node.clients.connections and node.clients.connections.listener)
        node.port = node.clients.connections.listener.getsockname()[1]
        blocked = True

        async def block():
            while blocked:
                time.sleep(0.3)
                await asyncio.sleep(0.05)

        blocker = asyncio.create_task(block())
        await self.until(lambda: node.reducer.lateness.lag > 1000)
        answers = await asyncio.gather(*(self.ask(node, request(X_Time_Left="0.4")) for _ in range(20)))
        blocked = False
        await blocker
        self.assertEqual({status for status, _, _ in answers}, {429})
        self.assertEqual((node.counts.read()["denied_late"], node.counts.read()["answered.429"]), (20, 20))
        self.assertEqual((worker.messages, node.reducer.gatekeeper.benched), ([], set()))
        # With the loop free again reqs pass.
        await self.until(lambda: node.reducer.lateness.lag < 100)
        self.assertEqual((await self.ask(node, request()))[0], 200)


class Emulated(unittest.TestCase):
    def play(self, operator):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        told = load_scenario("starved").model_dump()
        return VirtualLab(parse_told({**told, "operator": operator}), 1).run()["verdict"]["kinds"]

    def test_a_starved_gatekeeper_loses_nothing_and_passes_more(self):
        off, on = self.play(None), self.play({"lateness": {}})
        self.assertGreater(off["late"] + off["lost"], 200)
        self.assertLess(on.get("late", 0), 10)
        self.assertEqual(on.get("lost", 0), 0)
        self.assertGreater(on["passed"], off["passed"] + 100)

    def test_to_starve_needs_a_cost(self):
        told = load_scenario("starved").model_dump()
        with self.assertRaises(BadScenario):
            parse_told({**told, "event_cost_ms": 0.0})


if __name__ == "__main__":
    unittest.main()
