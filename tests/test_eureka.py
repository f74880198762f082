"""A Eureka registry as the source of workers: reading it, what is believed of it, and a gatekeeper's watch on one."""

import asyncio
import json
import logging
import unittest
from dataclasses import replace

from hypothesis import given, settings as run, strategies as st

from fernyard.discovery.eureka import (
    BadListing,
    Delta,
    EurekaWatch,
    Failed,
    Full,
    Instance,
    Listing,
    Trust,
    TrustSettings,
    hashcode,
    read_listing,
)
from fernyard.interface import Phase
from fernyard.lab.eureka import EmulatedEureka, RegistryModel
from fernyard.lab.scenario import load_scenario
from fernyard.lab.virtual import VirtualLab
from fernyard.log import Counts

READY, DRAINING, GONE = Phase.READY, Phase.DRAINING, Phase.GONE


def node(n, status="UP", stamp=100, **other):
    return Instance("NODOS", f"i-{n}", f"10.0.0.{n}:80", status, stamp=stamp, **other)


def listing(*instances, code=None):
    return Listing(hashcode(i.status for i in instances) if code is None else code, instances)


class Reading(unittest.TestCase):
    def test_json_and_xml_say_the_same(self):
        model = RegistryModel()
        for n in range(3):
            model.change(0.0, f"s-{n}", f"127.0.0.1:{8000 + n}", zone="norte", cell=n, started_ms=5)
            model.change(1.0, f"s-{n}", lifecycle=("ready", "draining", "gone")[n], zone="norte", cell=n)
            one, two = (
                read_listing(model.answer(path, xml), "application/xml" if xml else "application/json")
                for path in ("/eureka/apps/delta",)
                for xml in (False, True)
            )
            self.assertEqual(one, two)
        self.assertEqual([i.action for i in one.instances[-2:]], ["ADDED", "DELETED"])
        self.assertEqual(one.hashcode, "OUT_OF_SERVICE_1_UP_1_")
        # One instance alone stands in no list.
        alone = RegistryModel()
        alone.change(0.0, "s-0", "127.0.0.1:8000")
        self.assertEqual(len(read_listing(alone.answer("/eureka/apps"), "application/json").instances), 1)

    def test_an_override_counts_and_what_cannot_be_read_spoils_the_answer(self):
        entry = {
            "instanceId": "i",
            "app": "a",
            "ipAddr": "10.0.0.1",
            "port": {"$": 80, "@enabled": "true"},
            "status": "UP",
            "overriddenstatus": "OUT_OF_SERVICE",
        }

        def body(**other):
            told = {
                "applications": {
                    "apps__hashcode": "",
                    "application": [{"name": "A", "instance": [entry, {**entry, **other}]}],
                }
            }
            return json.dumps(told).encode()

        self.assertEqual([i.status for i in read_listing(body(), "application/json").instances], ["OUT_OF_SERVICE"] * 2)
        for other in (
            {"status": "GREEN", "overriddenstatus": "UNKNOWN"},
            {"port": {"$": 0}},
            {"port": "x"},
            {"ipAddr": "10.0.0.1/x", "hostName": ""},
            {"instanceId": "", "hostName": ""},
            {"lastUpdatedTimestamp": "NaN"},
            {"actionType": "LOST"},
            {"ipAddr": 7},
        ):
            with self.assertRaises(BadListing, msg=other):
                read_listing(body(**other), "application/json")
        bomb = (
            b'<!DOCTYPE x [<!ENTITY a "aaaa"><!ENTITY b "&a;&a;&a;">]>'
            b"<applications><apps__hashcode>&b;</apps__hashcode></applications>"
        )
        for data, kind in (
            (bomb, "application/xml"),
            (b"<applications", "application/xml"),
            (b"{", "application/json"),
            (b"[]", "application/json"),
            (b"[" * 100_000, "application/json"),
            (b'{"applications": {"application": 3}}', "application/json"),
        ):
            with self.assertRaises(BadListing):
                read_listing(data, kind)

    @run(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.binary(max_size=100)
        | st.recursive(
            st.none() | st.integers() | st.floats() | st.text(max_size=4),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ("applications", "application", "instance", "status", "port", "$", "metadata", "name")
                    ),
                    inner,
                )
            ),
            max_leaves=15,
        ).map(lambda told: json.dumps(told).encode()),
        st.sampled_from(("json", "xml")),
    )
    def test_any_bytes_are_a_listing_or_refused(self, data, kind):
        try:
            read_listing(data, kind)
        except BadListing:
            pass


class Believing(unittest.TestCase):
    def setUp(self):
        self.trust, self.now = Trust(TrustSettings(apps=("NODOS",), keep=60.0)), 0.0

    def told(self, what, after=0.25):
        self.now += after
        return {change.instance.id: change.phase for change in self.trust.step(self.now, what)}

    def ready(self):
        return sorted(i.id for i, phase in self.trust.taken.values() if phase is READY)

    def start(self, count=4, **other):
        self.told(Full(listing(*(node(n, **other) for n in range(count)))))

    def test_a_drain_is_followed_at_once_and_ended_by_a_newer_word_only(self):
        self.start()
        all_four = [node(n) for n in range(3)] + [node(3, "OUT_OF_SERVICE", 200)]
        self.assertEqual(
            self.told(Delta(listing(node(3, "OUT_OF_SERVICE", 200), code=listing(*all_four).hashcode))),
            {"i-3": DRAINING},
        )
        self.assertEqual(self.told(Full(listing(*(node(n) for n in range(4))))), {})  # from before the drain
        self.assertEqual(self.told(Full(listing(*all_four[:3], node(3, "UP", 200)))), {})  # no newer than it
        self.assertEqual(self.told(Full(listing(*all_four[:3], node(3, "UP", 201)))), {"i-3": READY})

    def test_a_registry_back_with_a_stale_list_brings_nobody_back_and_takes_no_newcomer_away(self):
        self.start()
        self.told(Full(listing(*(node(n) for n in range(3)), node(3, "OUT_OF_SERVICE", 200), node(4, "UP", 300))))
        for _ in range(3):
            self.assertEqual(self.told(Failed()), {})
        self.assertEqual(self.trust.ask, "full")
        self.assertEqual(self.told(Full(listing(*(node(n) for n in range(4))))), {})
        self.assertEqual(self.ready(), ["i-0", "i-1", "i-2", "i-4"])

    def test_one_removed_comes_back_on_a_newer_word(self):
        self.start()
        three = [node(n) for n in range(3)]
        deleted = node(3, stamp=150, action="DELETED")
        self.assertEqual(self.told(Delta(listing(deleted, code=listing(*three).hashcode))), {"i-3": GONE})
        # The same deltas come again for minutes: nothing changes by them.
        self.assertEqual(self.told(Delta(listing(deleted, code=listing(*three).hashcode))), {})
        self.assertEqual(self.told(Full(listing(*three, node(3, stamp=100)))), {})
        self.assertEqual(self.told(Full(listing(*three, node(3, stamp=400)))), {"i-3": READY})

    def test_a_delta_that_does_not_fit_is_followed_only_where_it_takes_out(self):
        self.start()
        self.assertEqual(
            self.told(Delta(listing(node(1, "OUT_OF_SERVICE", 200), node(9, "UP", 200), code="UP_9_"))),
            {"i-1": DRAINING},
        )
        self.assertEqual((self.trust.ask, self.trust.mismatched), ("full", 1))
        self.told(Full(listing(*(node(n) for n in (0, 2, 3)), node(1, "OUT_OF_SERVICE", 200), node(9, "UP", 200))))
        self.assertEqual(self.ready(), ["i-0", "i-2", "i-3", "i-9"])

    def test_an_override_does_not_spoil_the_hashcode(self):
        # Counted as what it is overridden to, it made every delta look as if changes were lost.
        self.start()
        out = replace(node(3, "OUT_OF_SERVICE", 200), reported="UP")
        self.assertEqual(self.told(Delta(Listing("UP_4_", (out,)))), {"i-3": DRAINING})
        self.assertEqual((self.trust.ask, self.trust.mismatched), ("delta", 0))

    def test_one_down_is_believed_and_many_at_once_are_not(self):
        self.start(10)
        nodes = [node(n) for n in range(9)]
        self.assertEqual(self.told(Full(listing(*nodes, node(9, "DOWN", 200)))), {"i-9": DRAINING})
        self.now += 30
        down = [node(n, "DOWN", 300) for n in range(10)]
        self.assertEqual(self.told(Full(listing(*down))), {})
        self.assertEqual(self.trust.notes, [("registry_doubted", 9)])
        self.assertEqual((self.told(Full(listing(*down))), self.trust.notes), ({}, []))  # said once
        # One that is to take nothing new is no trouble of the registry's: it is followed all the same.
        self.assertEqual(self.told(Full(listing(*down[1:], node(0, "OUT_OF_SERVICE", 301)))), {"i-0": DRAINING})
        self.assertEqual(
            self.told(Full(listing(*(node(n, "UP", 400) for n in range(10))))), {"i-0": READY, "i-9": READY}
        )
        self.assertEqual(self.trust.notes, [("registry_believed", 0)])

    def test_an_empty_list_and_losses_one_after_another_are_doubted_too(self):
        self.start(10)
        self.assertEqual(self.told(Full(listing())), {})
        self.start(10)
        lost = [self.told(Full(listing(*(node(n) for n in range(at, 10))))) for at in range(1, 9)]
        self.assertEqual([len(told) for told in lost], [1, 1, 1, 0, 0, 0, 0, 0])

    def test_what_is_doubted_for_long_is_believed(self):
        self.start(10)
        down = Full(listing(*(node(n, "DOWN", 300) for n in range(10))))
        self.assertEqual(self.told(down), {})
        self.assertEqual(len(self.told(down, after=121.0)), 10)

    def test_the_roster_stands_while_nothing_is_heard_and_then_no_longer(self):
        self.start()
        self.assertEqual(self.told(Failed(), after=59.0), {})
        self.assertEqual(self.told(Failed(), after=2.0), {f"i-{n}": GONE for n in range(4)})
        self.assertEqual(self.trust.notes, [("registry_given_up", 4)])
        self.assertEqual(self.told(Failed()), {})
        self.now += 20
        self.told(Full(listing(*(node(n) for n in range(4)))))
        self.told(Full(listing(*(node(n) for n in range(4)))), after=10.0)
        self.assertEqual(len(self.ready()), 4)

    def test_without_stamps_a_drained_one_comes_back_when_it_was_up_for_a_while(self):
        self.start(stamp=0)
        self.told(Full(listing(*(node(n, stamp=0) for n in range(3)), node(3, "OUT_OF_SERVICE", 0))))
        up = Full(listing(*(node(n, stamp=0) for n in range(4))))
        self.assertEqual(self.told(up), {})
        self.assertEqual(self.told(up, after=9.0), {})
        self.assertEqual(self.told(up, after=1.5), {"i-3": READY})

    def test_a_new_life_and_a_new_address_are_told(self):
        self.start()
        moved = replace(node(0, stamp=200), address="10.9.9.9:80")
        born = replace(node(1, stamp=200), started=77)
        self.assertEqual(self.told(Full(listing(moved, born, node(2), node(3)))), {"i-0": READY, "i-1": READY})

    def test_others_applications_are_not_workers_and_what_is_remembered_is_bounded(self):
        self.trust.set = replace(self.trust.set, remembered=50)
        for stamp in range(1, 300):
            # 300 lives of one worker under ever new ids, beside one that stays.
            self.told(
                Full(
                    listing(
                        node(0, stamp=stamp),
                        replace(node(stamp, stamp=stamp), id=f"n-{stamp}"),
                        replace(node(1), app="OTHER"),
                    )
                ),
                after=10.0,
            )
        self.assertEqual((len(self.trust.last), len(self.trust.taken), len(self.trust.fell)), (50, 2, 1))


class Watching(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.registry = await EmulatedEureka().start()
        self.addAsyncCleanup(self.registry.close)
        for n in range(4):
            self.registry.change(f"s-{n}", f"127.0.0.1:{8000 + n}")
        self.told, self.news, self.counts = {}, asyncio.Event(), Counts()

    async def watch(self, kind="json", timeout=30.0):
        def report(told):
            for machine in told.machines or ():
                self.told[machine.worker.partition("/")[2]] = machine.phase
            self.news.set()

        watch = EurekaWatch(
            f"http://{self.registry.address}/eureka",
            0.02,
            timeout,
            TrustSettings(),
            {"here": 0},
            report,
            self.counts,
            kind=kind,
        )
        watch.start()
        self.addAsyncCleanup(watch.close)
        await self.until(lambda: len(self.told) == 4)
        return watch

    async def until(self, true):
        async with asyncio.timeout(30):
            while not true():
                await asyncio.sleep(0.005)

    def count(self, kind):
        return self.counts.read().get(f"eureka.{kind}", 0)

    async def heard(self, kind):
        """Two more answers of that kind: the second was asked for after this call."""
        before = self.count(kind)
        await self.until(lambda: self.count(kind) >= before + 2)

    async def test_states_flip_on_a_script_in_both_forms(self):
        for kind in ("json", "xml"):
            self.told.clear()
            watch = await self.watch(kind)
            self.registry.change("s-1", lifecycle="draining")
            await self.until(lambda: self.told["s-1"] is DRAINING)
            self.registry.change("s-1", lifecycle="ready")
            await self.until(lambda: self.told["s-1"] is READY)
            self.registry.change("s-2", lifecycle="gone")
            await self.until(lambda: self.told["s-2"] is GONE)
            self.registry.change("s-2", "127.0.0.1:8002")
            await self.until(lambda: self.told["s-2"] is READY)
            self.assertEqual((self.count("full"), watch.trust.mismatched), (1, 0))  # deltas were enough
            await watch.close()
            self.counts = Counts()

    async def test_away_then_stale_then_well_again(self):
        await self.watch()
        await self.registry.set_fault("mark")
        self.registry.change("s-1", lifecycle="draining")
        await self.until(lambda: self.told["s-1"] is DRAINING)
        await self.registry.set_fault("unreachable")
        await self.heard("failed")
        await self.registry.set_fault("stale")
        await self.heard("delta")  # which come after the whole list, asked for once it was heard again
        self.assertEqual(self.told, {"s-0": READY, "s-1": DRAINING, "s-2": READY, "s-3": READY})
        await self.registry.set_fault("none")
        self.registry.change("s-1", lifecycle="ready")
        await self.until(lambda: self.told["s-1"] is READY)

    async def test_lost_changes_and_all_down(self):
        watch = await self.watch()
        await self.registry.set_fault("lossy")
        for worker in ("s-1", "s-2"):  # one of the two is in no delta
            self.registry.change(worker, lifecycle="draining")
        await self.until(lambda: [self.told[w] for w in ("s-1", "s-2")] == [DRAINING] * 2)
        self.assertGreater(watch.trust.mismatched, 0)
        await self.registry.set_fault("all-down")
        await self.until(lambda: self.count("registry_doubted"))
        self.assertEqual((self.told["s-0"], self.told["s-3"]), (READY, READY))

    async def test_a_registry_slower_than_the_calls_between_is_asked_one_call_at_a_time(self):
        await self.watch()
        await self.registry.set_fault("slow", 0.15)
        before = sum(self.registry.calls.values())
        began = asyncio.get_running_loop().time()
        self.registry.change("s-1", lifecycle="draining")
        await self.until(lambda: self.told["s-1"] is DRAINING)
        took = asyncio.get_running_loop().time() - began
        self.assertLessEqual(sum(self.registry.calls.values()) - before, took / 0.15 + 2)


class Draining(unittest.TestCase):
    def test_on_the_emulated_clock_no_worker_out_of_service_gets_work_past_the_cutoff(self):
        # The shipped scenario: drains, a removal, a registry away, stale, all DOWN and losing deltas.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        verdict = VirtualLab(load_scenario("eureka"), 1).run()["verdict"]
        self.assertEqual(verdict["broken"], [])
        self.assertLess(verdict["worst_drain_s"], 0.5)
        self.assertGreater(verdict["worst_drain_s"], 0.0)  # there was work to be kept away
        self.assertGreater(verdict["served_share"], 0.99)


if __name__ == "__main__":
    unittest.main()
