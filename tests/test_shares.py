"""Shares among tenants: exact filling, no share granted twice while shares move, fleets on the emulated clock."""

import asyncio
import bisect
import random
import tempfile
import unittest

import aiohttp
from hypothesis import given, settings, strategies as st

from fernyard.accord.register import Order
from fernyard.lab.agreement import AgreementLab
from fernyard.lab.processes import ProcessFleet
from fernyard.settings import BadSettings, read_config
from fernyard.settings.operator import read_operator
from fernyard.shares import EdgeShares, SharesAdviser, SharesSettings, Tenant
from fernyard.shares.allocate import fill

from .helper import configuration, keep_asking

SECOND = 10_000


class Filling(unittest.TestCase):
    def test_the_textbook_and_weights_and_caps(self):
        # Three links; the long flow shares each (Bertsekas and Gallager, figure 6.13's kind).
        through = {"long": ("a", "b", "c"), "x": ("a",), "y": ("b",), "z": ("c",)}
        rates = fill(dict.fromkeys(through, 1e9), dict.fromkeys(through, 1.0), through, {"a": 1.0, "b": 2.0, "c": 1.0})
        self.assertEqual({k: round(v, 9) for k, v in rates.items()}, {"long": 0.5, "x": 0.5, "y": 1.5, "z": 0.5})
        one = {name: ("a",) for name in "xyz"}
        self.assertEqual(
            fill({"x": 9.0, "y": 9.0, "z": 1.0}, {"x": 2.0, "y": 1.0, "z": 1.0}, one, {"a": 10.0}),
            {"x": 6.0, "y": 3.0, "z": 1.0},
        )
        # What is had already stays, and may alone overfill.
        self.assertEqual(
            fill({"x": 9.0, "y": 9.0, "z": 9.0}, dict.fromkeys("xyz", 1.0), one, {"a": 10.0}, {"x": 12.0}),
            {"x": 12.0, "y": 0.0, "z": 0.0},
        )

    @settings(max_examples=150, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from("abcdefgh"),
            st.tuples(st.floats(0, 50), st.floats(0.1, 9), st.sets(st.sampled_from("XYZ"), min_size=1)),
            min_size=1,
        ),
        st.fixed_dictionaries({b: st.floats(1, 60) for b in "XYZ"}),
    )
    def test_whatever_is_asked_nothing_overflows_and_who_lacks_has_a_full_bottleneck_where_it_is_among_the_first(
        self, flows, capacity
    ):
        demands, weights = {f: t[0] for f, t in flows.items()}, {f: t[1] for f, t in flows.items()}
        through = {f: tuple(sorted(t[2])) for f, t in flows.items()}
        rates = fill(demands, weights, through, capacity)
        used = {b: sum(rates[f] for f in flows if b in through[f]) for b in capacity}
        for bottleneck, units in used.items():
            self.assertLessEqual(units, capacity[bottleneck] + 1e-6)
        for flow, rate in rates.items():
            self.assertLessEqual(rate, demands[flow] + 1e-6)
            if rate < demands[flow] - 1e-6:
                self.assertTrue(
                    any(
                        used[b] > capacity[b] - 1e-4
                        and all(rates[o] / weights[o] <= rate / weights[flow] + 1e-3 for o in flows if b in through[o])
                        for b in through[flow]
                    ),
                    rates,
                )


TENANTS = Tenant("a", 2.0), Tenant("b", 1.0), Tenant("others", 1.0)


def shaped(**other):
    return SharesSettings(**{**dict(tenants=TENANTS, zones={"z": 100.0}, edge=80.0, edges=4, floor=0.1), **other})


class Moving(unittest.TestCase):
    def setUp(self):
        self.adviser, self.order, self.now = (
            SharesAdviser(shaped(), 2 * SECOND, SECOND // 2),
            Order(1, {}),
            1000 * SECOND,
        )

    def advise(self, after=SECOND // 4, **edges):
        """`edges`: name -> (number it has, {tenant: asked}); the rates granted."""
        self.now += after
        part = self.adviser.advise(
            self.now,
            {e: {"shares": {"zone": "z", "has": has, "asked": asked}} for e, (has, asked) in edges.items()},
            self.order,
        )
        self.order = self.order.with_part("shares", part)
        return part["rates"]

    def test_who_gains_waits_until_who_loses_has_confirmed(self):
        self.assertEqual(self.advise(g1=(-1, {"a": 100.0}))["g1"]["a"], 72.0)  # the edge's own bound, less the floor
        first = self.order.parts["shares"]["number"]
        rates = self.advise(g1=(first, {"a": 100.0}), g2=(-1, {"b": 100.0}))
        self.assertEqual((rates["g1"]["a"], rates["g2"]["b"]), (60.0, 18.0))  # 12 of g1's are owed still
        number = self.order.parts["shares"]["number"]
        rates = self.advise(g1=(first, {"a": 100.0}), g2=(number, {"b": 100.0}))
        self.assertEqual(rates["g2"]["b"], 18.0)
        rates = self.advise(g1=(number, {"a": 100.0}), g2=(number, {"b": 100.0}))
        self.assertEqual((rates["g1"]["a"], rates["g2"]["b"]), (60.0, 30.0))

    def test_or_until_its_lease_is_over_whatever_became_of_it(self):
        self.advise(g1=(-1, {"a": 100.0}))
        told = [self.advise(g2=(-1, {"b": 100.0}))["g2"]["b"] for _ in range(20)]
        self.assertEqual(told[:13], [18.0] * 13)  # 2 s of lease, 0.5 s of skew, 1 s for the round
        self.assertEqual(told[-1], 72.0)

    def test_guaranteed_parts_come_first_and_caps_hold(self):
        adviser = SharesAdviser(
            shaped(tenants=(Tenant("a", 9.0), Tenant("b", 1.0, guaranteed=40.0), Tenant("others", 1.0, cap=5.0))), 1, 1
        )
        edges = {"g1": ("z", {"a": 80.0, "others": 50.0}, 0), "g2": ("z", {"b": 60.0}, 0)}
        rates = adviser.ideal(edges)
        self.assertGreaterEqual(rates["g2", "b"], 40.0 - 1e-6)
        self.assertLessEqual(rates["g1", "others"], 5.0 + 1e-6)
        self.assertAlmostEqual(sum(rates.values()), 90.0, delta=1e-6)

    def test_small_changes_move_nothing_and_odd_words_are_passed_over(self):
        self.advise(g1=(-1, {"a": 40.0}))
        number = self.order.parts["shares"]["number"]
        for n in range(8):
            self.advise(g1=(number, {"a": 40.0 + n % 2}))
        self.assertEqual(self.order.parts["shares"]["number"], number)
        before = self.order
        for odd in (
            None,
            3,
            {},
            {"zone": "mars", "has": 1, "asked": {}},
            {"zone": "z", "has": "x", "asked": {"a": 1.0}},
            {"zone": "z", "has": number, "asked": {"a": float("nan"), "nobody": 5.0}},
        ):
            self.adviser.advise(
                self.now,
                {"g9": {"shares": odd}, "g1": {"shares": {"zone": "z", "has": number, "asked": {"a": 40.0}}}},
                before,
            )


class AtTheEdge(unittest.TestCase):
    def edge(self, holds=lambda now: True):
        return EdgeShares("g1", "z", {"a": 2.0}, lambda customer, plan: "a", holds)

    def passed(self, edge, since, seconds, every=100):
        return sum(edge.admits(now, 1, 0, 1.0) for now in range(since, since + seconds * SECOND, every))

    def test_the_rate_passes_beside_the_floor_and_without_an_order_the_floor_alone(self):
        told = [True]
        edge = self.edge(lambda now: told[0])
        edge.obey(0, {"rates": {"g1": {"a": 18.0}, "g2": {"a": 99.0}}, "number": 7})
        self.assertEqual(edge.report(0)["has"], 7)
        self.assertAlmostEqual(self.passed(edge, SECOND, 10), 200, delta=6)
        # One that stood still past its lease passes its floor from the first req on, told or not.
        told[0] = False
        self.assertAlmostEqual(self.passed(edge, 60 * SECOND, 10), 20, delta=4)
        edge.obey(0, None)
        self.assertEqual(edge.report(0)["has"], -1)

    def test_what_is_offered_is_reported_and_fades(self):
        edge = self.edge()
        self.passed(edge, 0, 3)  # a hundred a second, most denied
        self.assertAlmostEqual(edge.report(3 * SECOND)["asked"]["a"], 100.0, delta=15)
        self.assertEqual(edge.report(9 * SECOND)["asked"], {})


class Hasty(SharesAdviser):
    """Raises at once what others gain."""

    def _raised(self, edges, wished, start, owed):
        return super()._raised(edges, wished, start, {})


class Fleet(unittest.TestCase):
    """Eight edges on the emulated clock, demands that shift, faults between them: what passed, from records."""

    def play(self, seed, adviser=SharesAdviser, faults=True, length=40):
        capacity = 400.0
        told = SharesSettings(TENANTS, {"z": capacity}, 120.0, 8)
        lab = AgreementLab(
            seed,
            3,
            8,
            begin=1_700_000_000 * SECOND,
            skew=SECOND // 2,
            advisers=lambda n: {"shares": adviser(told, 2 * SECOND, SECOND // 2)},
            parts=lambda process: {
                "shares": EdgeShares(
                    process.name,
                    "z",
                    told.floor_of("z"),
                    lambda customer, plan: customer,
                    lambda now: process.model.holds(now) is not None,
                )
            },
        )
        chance, passed, begin = random.Random(f"shares:{seed}"), {}, lab.now
        asked = {(p.name, t.name): chance.choice((0.0, 10.0, 60.0)) for p in lab.followers for t in TENANTS}

        def offer(process, tenant):
            rate = asked[process.name, tenant]
            if rate and process.alive and lab.now >= process.ends:
                if process.parts["shares"].admits(lab.now + process.offset, tenant, 0, 1.0):
                    slot = (lab.now - begin) * 10 // SECOND
                    passed.setdefault(slot, {}).setdefault(tenant, []).append(process.name)
            lab.later(int(SECOND * chance.expovariate(max(rate, 5.0))) + 1, offer, process, tenant)

        def shift():
            for flow in chance.sample(sorted(asked), 6):
                asked[flow] = chance.choice((0.0, 10.0, 60.0, 120.0))
            everyone = [*lab.planners, *lab.followers]
            if faults and chance.random() < 0.7:
                side = [p for p in everyone if chance.random() < 0.3]
                lab.cut(side, [p for p in everyone if p not in side], chance.random() < 0.5)
                lab.later(chance.randrange(3 * SECOND), lab.heal)
            if faults and chance.random() < 0.3:
                lab.pause(chance.choice(everyone), chance.randrange(5 * SECOND))
            lab.later(chance.randrange(2 * SECOND, 5 * SECOND), shift)

        for process in lab.followers:
            for tenant in TENANTS:
                lab.later(chance.randrange(SECOND), offer, process, tenant.name)
        if length > 20:
            lab.later(3 * SECOND, shift)
        lab.run(begin + length * SECOND)
        return lab, passed, asked, capacity

    def worst(self, passed, capacity, span=10):
        """The most that passed in any `span` tenths of a second, beside what the capacity gives in it."""
        sums = {slot: sum(map(len, told.values())) for slot, told in passed.items()}
        return max(sum(sums.get(slot + n, 0) for n in range(span)) for slot in range(max(sums))) / (
            capacity * span / 10
        )

    def test_the_sum_stays_within_capacity_while_demands_shift_and_links_are_cut(self):
        # A store holds a quarter of a second: in any second no more than 1.25 of what the capacity gives may pass.
        for seed in range(4):
            lab, passed, _, capacity = self.play(seed)
            self.assertEqual(lab.records.wrong, [], seed)
            self.assertLessEqual(self.worst(passed, capacity), 1.25, seed)
            self.assertGreater(len(lab.records.decided), 10)

    def test_a_share_raised_before_the_other_fell_is_found(self):
        def overfull(part):
            """The most that all edges may pass under an order: what is granted, or still owed, of the 380 beside the floors."""
            flows = {(e, t): rate for e, told in part["rates"].items() for t, rate in told.items()}
            for edge, told in part["owed"].items():
                for tenant, (rate, *_) in told.items():
                    flows[edge, tenant] = max(rate, flows.get((edge, tenant), 0.0))
            return sum(flows.values()) > 381.0

        def found(adviser):
            return any(
                overfull(order.parts["shares"])
                for seed in range(3)
                for order, _ in self.play(seed, adviser)[0].records.decided.values()
                if "shares" in order.parts
            )

        self.assertEqual((found(SharesAdviser), found(Hasty)), (False, True))

    def test_unused_shares_flow_to_who_wants_them_and_tenants_get_their_weights(self):
        lab, passed, asked, capacity = self.play(7, faults=False, length=0)
        for flow in asked:
            asked[flow] = {"a": 80.0, "b": 80.0, "others": 0.0}[flow[1]]
        begin = lab.now
        lab.run(lab.now + 10 * SECOND)

        def rate(tenant, since, until):
            base = begin - 1_700_000_000 * SECOND
            slots = range((base + since * SECOND) * 10 // SECOND, (base + until * SECOND) * 10 // SECOND)
            return sum(len(passed.get(slot, {}).get(tenant, ())) for slot in slots) / (until - since)

        self.assertAlmostEqual(rate("a", 5, 10) / rate("b", 5, 10), 2.0, delta=0.3)
        self.assertGreater(rate("a", 5, 10) + rate("b", 5, 10), 0.93 * capacity)
        for flow in asked:
            asked[flow] = 0.0 if flow[1] == "a" else asked[flow]
        lab.run(lab.now + 10 * SECOND)
        # Two seconds after a wants nothing more, b has what it asks as far as it fits.
        self.assertGreater(rate("b", 13, 18), 0.85 * capacity)


class Settings(unittest.TestCase):
    TOLD = {
        "accord": {"cluster": "c", "planners": ["h:1", "h:2", "h:3"]},
        "shares": {
            "zones": {"here": 100.0},
            "edge": 50.0,
            "tenants": [
                {"name": "a", "weight": 2.0, "customers": ["00000000b4d65521"]},
                {"name": "b", "plans": ["large"]},
            ],
        },
    }

    def test_customers_and_plans_are_tenants_and_all_else_is_others(self):
        operator, config = read_operator(self.TOLD), read_config(configuration())
        edge = operator.shares.share(config, operator.accord.follower(config))
        large = config.plans["large"]
        self.assertEqual(
            [edge.tenant_of(0xB4D65521, large), edge.tenant_of(7, large), edge.tenant_of(7, 0)], ["a", "b", "others"]
        )

    def test_what_cannot_be_says_so(self):
        def told(**shares):
            return {**self.TOLD, "shares": {**self.TOLD["shares"], **shares}}

        for bad, words in (
            ({"shares": self.TOLD["shares"]}, "needs [accord]"),
            (told(tenants=[{"name": "a"}, {"name": "a"}]), "one name"),
            (told(tenants=[{"name": "others"}]), "called others"),
            (told(tenants=[{"name": "a", "plans": ["large"]}, {"name": "b", "plans": ["large"]}]), "same of plans"),
            (told(tenants=[{"name": "a", "guaranteed": 97.0}]), "more is guaranteed"),
            (told(tenants=[{"name": "a", "guaranteed": 5.0, "cap": 4.0}]), "cap is below"),
        ):
            with self.assertRaises(BadSettings) as why:
                read_operator(bad)
            self.assertIn(words, str(why.exception))
        config = read_config(configuration())
        for bad, words in (
            (told(zones={"mars": 9.0}), "no zone 'mars'"),
            (told(tenants=[{"name": "a", "plans": ["huge"]}]), "no plan 'huge'"),
        ):
            operator = read_operator(bad)
            with self.assertRaises(BadSettings) as why:
                operator.shares.share(config, operator.accord.follower(config))
            self.assertIn(words, str(why.exception))


class OnSockets(unittest.IsolatedAsyncioTestCase):
    async def test_the_sum_stays_within_capacity_with_a_planner_killed_and_an_edge_cut_off(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        a, b = f"{0xA:016x}", f"{0xB:016x}"
        told = (
            f'[shares]\nzones = {{ here = 80.0 }}\nedge = 60.0\nedges = 4\n[[shares.tenants]]\nname = "a"\nweight = 2.0\n'
            f'customers = ["{a}"]\n[[shares.tenants]]\nname = "b"\ncustomers = ["{b}"]\n'
        )
        fleet = await ProcessFleet(folder.name, 3, 4, sections=lambda instance: told).start()
        stopped, session = asyncio.Event(), aiohttp.ClientSession()
        load = asyncio.create_task(keep_asking(session, fleet, stopped, (a, b), 0.005))
        try:

            def passed():
                return sorted(at for worker in fleet.workers.values() for at, *_ in worker.dispatches)

            def served(gatekeeper):
                return any(int(f["version"]) > 1 for _, f in gatekeeper.events("order_obeyed", life=True))

            await fleet.until(lambda: all(served(g) for g in fleet.gatekeepers), what="for shares")
            many = len(passed())
            await fleet.until(lambda: len(passed()) > many + 150, what="for shares to be used")
            await fleet.planners[0].kill()
            fleet.cut(fleet.gatekeepers[:1], fleet.planners)
            await fleet.until(lambda: fleet.gatekeepers[0].events("order_lost"), what="for the lease of one cut off")
            many = len(passed())
            await fleet.until(lambda: len(passed()) > many + 200, what="for the others to go on")
            fleet.heal()
            await fleet.until(lambda: fleet.gatekeepers[0].version(), what="for the one cut off to be back")
            many = len(passed())
            await fleet.until(lambda: len(passed()) > many + 150)
        finally:
            stopped.set()
            statuses = await load
            times = passed()
            await session.close()
            exits = await fleet.close()
        self.assertEqual({code for name, code in exits.items() if name != "p0"}, {0})
        self.assertEqual(set(statuses), {200, 429})  # each req got its one answer
        # In no second more than the capacity, and what the stores hold: a quarter of a second's.
        worst = max(bisect.bisect_right(times, at + 1.0) - n for n, at in enumerate(times))
        self.assertLessEqual(worst, 80 * 1.25 + 4 * 2)
        # Nothing but the shares held the rest back, so it was asked for.
        self.assertGreater(statuses[429], statuses[200])
