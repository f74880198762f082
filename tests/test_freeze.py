"""Freeze windows: when they are open, what planners make of changes, what an instance serves; fleets under faults."""

import random
import tempfile
import unittest
import unittest.mock
from datetime import UTC, datetime
from pathlib import Path
from zoneinfo import ZoneInfo

from fernyard.accord.register import Order
from fernyard.freeze import Candidate, Keeper
from fernyard.freeze.adviser import FreezeAdviser
from fernyard.freeze.bundle import BadBundle, Kept, make_bundle
from fernyard.freeze.keeper import Adopt, Keep, Lacking, Refused
from fernyard.freeze.windows import BadWindow, Exemption, Window, Windows
from fernyard.lab.agreement import AgreementLab

SECOND = 10_000
MADRID = "Europe/Madrid"


def unix(*told, zone="UTC"):
    return datetime(*told, tzinfo=ZoneInfo(zone)).timestamp()


def utc(moment):
    return datetime.fromtimestamp(moment, UTC).strftime("%m-%d %H:%M")


class When(unittest.TestCase):
    def spans(self, window, since, most=3):
        window.check()
        return [(utc(start), utc(end)) for start, end in window.spans(since)][:most]

    def test_local_times_rules_and_holidays(self):
        fair = Window("fair", "America/Montevideo", datetime(2026, 12, 15), datetime(2027, 1, 7))
        self.assertEqual(self.spans(fair, unix(2026, 12, 2)), [("12-15 03:00", "01-07 03:00")])
        fridays = Window("f", MADRID, datetime(2026, 1, 2, 18), datetime(2026, 1, 3, 2), "FREQ=WEEKLY;BYDAY=FR")
        # Wall-clock times stay as they are over the change of the clock on 29 March.
        self.assertEqual(
            self.spans(fridays, unix(2026, 3, 26)),
            [("03-27 17:00", "03-28 01:00"), ("04-03 16:00", "04-04 00:00"), ("04-10 16:00", "04-11 00:00")],
        )
        # One that is open already counts, of a rule that began long before.
        self.assertEqual(self.spans(fridays, unix(2026, 3, 27, 23), 1), [("03-27 17:00", "03-28 01:00")])
        christmas = Window("c", MADRID, holiday=("ES", "Christmas"), before=2, after=1)
        self.assertEqual(self.spans(christmas, unix(2026, 12, 1), 1), [("12-22 23:00", "12-26 23:00")])

    def test_over_a_change_of_the_clock_a_window_errs_towards_longer(self):
        for told, kept in (
            ((datetime(2026, 10, 25, 2, 30), datetime(2026, 10, 25, 2, 45)), ("10-25 00:30", "10-25 01:45")),  # twice
            ((datetime(2026, 3, 29, 2, 30), datetime(2026, 3, 29, 2, 45)), ("03-29 00:30", "03-29 01:45")),
        ):  # never
            self.assertEqual(self.spans(Window("w", MADRID, *told), unix(2026, 1, 1)), [kept])

    def test_what_cannot_be_says_what_to_do(self):
        day = datetime(2026, 1, 2)
        for window, words in (
            (Window("w", "Mars/Base", day, datetime(2026, 1, 3)), "IANA zone"),
            (Window("w", MADRID, datetime(2026, 1, 3), day), "ends before it starts"),
            (Window("w", MADRID, day, day), "ends before it starts"),
            (Window("w", MADRID), "start and end"),
            (Window("w", MADRID, day, datetime(2026, 1, 3), holiday=("ES", "x")), "not both"),
            (Window("w", MADRID, day, datetime(2026, 1, 3), "FREQ=SOMETIMES"), "rule"),
            (Window("w", MADRID, holiday=("ES", "Towel Day")), "one of: "),
            (Window("w", MADRID, holiday=("Q9", "Christmas")), "two letters"),
        ):
            with self.subTest(words), self.assertRaises(BadWindow) as told:
                window.check()
            self.assertIn(words, str(told.exception))
        good = Window("w", MADRID, day, datetime(2026, 1, 3))
        for windows, exemptions in (((good, good), ()), ((good,), (Exemption("v", "d", "r", 1.0),))):
            with self.assertRaises(BadWindow):
                Windows(windows, exemptions)

    def test_overlaps_and_skew_on_both_sides(self):
        windows = Windows(
            (
                Window("long", "UTC", datetime(2026, 1, 1), datetime(2026, 1, 9)),
                Window("short", "UTC", datetime(2026, 1, 8), datetime(2026, 1, 10)),
            ),
            skew=5.0,
        )
        start, end = unix(2026, 1, 1), unix(2026, 1, 10)
        self.assertIsNone(windows.frozen(start - 5.1))
        self.assertEqual(windows.frozen(start - 4.9).window, "long")
        self.assertEqual(windows.frozen(start - 9.0, ahead=5.0).window, "long")
        self.assertEqual(windows.frozen(unix(2026, 1, 8, 12)).window, "short")  # it ends last
        self.assertEqual(windows.frozen(end + 4.9).end, end + 5.0)
        self.assertIsNone(windows.frozen(end + 5.1))
        # Asked again on another day, and on a clock set back.
        for now, name in ((unix(2026, 3, 1), None), (unix(2026, 1, 2), "long")):
            self.assertEqual(getattr(windows.frozen(now), "window", None), name)


FAIR = Window("fair", "UTC", datetime(2026, 1, 2), datetime(2026, 1, 3))
BEFORE, WITHIN, AFTER = (int(unix(2026, 1, day, hour) * SECOND) for day, hour in ((1, 0), (2, 12), (3, 1)))


class Advising(unittest.TestCase):
    def setUp(self):
        self.order = Order(1, {})

    def advise(self, now, windows=Windows(), planners=(), **told):
        adviser = FreezeAdviser(windows, 3)
        reports = {name: {"config": {"serving": serving, "staged": staged}} for name, (serving, staged) in told.items()}
        reports |= {f"planner {n}": {"config": own} for n, own in enumerate(planners)}
        part = adviser.advise(now, reports, self.order)
        same = part is self.order.parts.get("config")
        fits = adviser.fits(now, self.order.parts.get("config"), part, reports)
        self.order = self.order.with_part("config", part)
        return (
            same,
            part and part["now"],
            part and part["next"] and part["next"][0],
            [r[:2] for r in (part or {"refused": ()})["refused"]],
            fits,
        )

    def test_a_change_is_taken_once_all_have_it_and_by_one_order(self):
        self.assertEqual(self.advise(BEFORE, a=("d0", None), b=("d1", None))[1], None)  # not alike yet
        self.assertEqual(self.advise(BEFORE, a=("d0", None), b=("d0", None))[1], "d0")
        self.assertEqual(self.advise(BEFORE, a=("d0", "d1"), b=("d0", None))[1:3], ("d0", "d1"))
        self.assertTrue(self.advise(BEFORE, a=("d0", "d1"), b=("d0", None))[0])
        self.assertEqual(self.advise(BEFORE, a=("d0", "d1"), b=("d0", "d1"))[1:3], ("d1", None))
        # Those that are behind stage it still: it is no new change.
        self.assertTrue(self.advise(BEFORE, a=("d1", None), b=("d0", "d1"))[0])

    def test_one_that_not_all_are_handed_is_undone(self):
        self.advise(BEFORE, a=("d0", None), b=("d0", None))
        self.advise(BEFORE, a=("d0", "d1"), b=("d0", None))
        self.assertTrue(self.advise(BEFORE + 59 * SECOND, a=("d0", "d1"), b=("d0", None))[0])
        _, now, next_, refused, _ = self.advise(BEFORE + 61 * SECOND, a=("d0", "d1"), b=("d0", None))
        self.assertEqual((now, next_, refused[0][0]), ("d0", None, "d1"))
        self.assertIn("b had it not", refused[0][1])
        self.assertTrue(self.advise(BEFORE + 62 * SECOND, a=("d0", "d1"), b=("d0", None))[0])  # refused is not queued
        self.assertEqual(self.advise(BEFORE + 72 * SECOND, a=("d0", None), b=("d0", None))[3], [])

    def test_in_a_window_and_near_one_nothing_changes_but_by_exception(self):
        windows = Windows((FAIR,))
        self.advise(WITHIN, windows, a=("d0", None))  # what stands already is no change
        for now in (WITHIN, BEFORE + 86_400 * SECOND - 10 * SECOND):
            _, told, next_, refused, _ = self.advise(now, windows, a=("d0", "d1"))
            self.assertEqual((told, next_), ("d0", None))
            self.assertEqual(refused[-1], ["d1", "frozen by 'fair' until 2026-01-03 00:00:00 UTC"])
            self.order = self.order.with_part("config", {**self.order.parts["config"], "refused": []})
        own = FreezeAdviser(Windows((FAIR,), (Exemption("fair", "d1", "prices were wrong", unix(2026, 1, 3)),)), 3).own(
            WITHIN
        )
        none = FreezeAdviser(windows, 3).own(WITHIN)
        self.assertEqual(self.advise(WITHIN, windows, (own, none, none), a=("d0", "d1"))[2], None)  # one of three
        self.order = self.order.with_part("config", {**self.order.parts["config"], "refused": []})
        self.assertEqual(self.advise(WITHIN, windows, (own, own, none), a=("d0", "d1"))[2], "d1")
        self.assertEqual(self.advise(WITHIN, windows, (own, own, none), a=("d0", "d1"))[1], "d1")

    def test_a_window_that_one_planner_knows_holds_for_all(self):
        self.advise(WITHIN, a=("d0", None))
        own = FreezeAdviser(Windows((FAIR,)), 3).own(WITHIN)
        self.assertEqual(self.advise(WITHIN, Windows(), (own,), a=("d0", "d1"))[3][0][0], "d1")

    def test_one_half_way_as_a_window_nears_is_undone_and_no_try_comes_late(self):
        windows = Windows((FAIR,))
        opens = int(unix(2026, 1, 2) * SECOND)
        self.advise(BEFORE, windows, a=("d0", None), b=("d0", None))
        self.assertEqual(self.advise(opens - 15 * SECOND, windows, a=("d0", "d1"), b=("d0", None))[2], "d1")
        adviser, before = FreezeAdviser(windows, 3), self.order.parts["config"]
        after = {**before, "now": "d1", "next": None}
        self.assertTrue(adviser.fits(opens - 13 * SECOND, before, after, {}))
        self.assertFalse(adviser.fits(opens - 12 * SECOND, before, after, {}))
        _, now, next_, refused, _ = self.advise(opens - 12 * SECOND, windows, a=("d0", "d1"), b=("d0", "d1"))
        self.assertEqual((now, next_, refused[0][0]), ("d0", None, "d1"))


class Serving(unittest.TestCase):
    def part(self, now="d0", next_=None, refused=()):
        return {"now": now, "next": next_, "refused": list(refused)}

    def test_handed_over_is_staged_and_adopted_by_the_order_alone(self):
        keeper = Keeper("d0", Windows(), True)
        self.assertEqual([type(o) for o in keeper.handed(BEFORE, Candidate("d1"))], [Refused])  # no order holds
        keeper.obey(BEFORE, self.part())
        self.assertEqual(keeper.handed(BEFORE, Candidate("d1", "content")), [])
        self.assertEqual(keeper.report(BEFORE), {"serving": "d0", "staged": "d1"})
        keeper.obey(BEFORE, self.part("d0", ["d1", BEFORE]))
        self.assertEqual(keeper.serving, "d0")
        self.assertEqual(keeper.obey(BEFORE, self.part("d1")), [Adopt(Candidate("d1", "content"))])
        self.assertEqual(keeper.report(BEFORE), {"serving": "d1", "staged": None})
        # The old file again is a change; the same one is none, and takes a staged one back.
        keeper.handed(BEFORE, Candidate("d0"))
        self.assertEqual((keeper.handed(BEFORE, Candidate("d1")), keeper.staged), ([], None))

    def test_in_a_window_it_refuses_at_once_and_the_same_always_passes(self):
        keeper = Keeper("d0", Windows((FAIR,)), True)
        keeper.obey(WITHIN, self.part())
        (told,) = keeper.handed(WITHIN, Candidate("d1"))
        self.assertIn("frozen by 'fair' until 2026-01-03", told.why)
        self.assertEqual((keeper.handed(WITHIN, Candidate("d0")), keeper.staged), ([], None))
        # Without planners too, skew on both sides.
        alone = Keeper("d0", Windows((FAIR,), skew=3600.0), True)
        for now in (WITHIN, int(unix(2026, 1, 1, 23, 30) * SECOND), int(unix(2026, 1, 3, 0, 30) * SECOND)):
            self.assertIn("frozen", alone.handed(now, Candidate("d1"))[0].why)
        self.assertIn("no majority", alone.handed(AFTER + 3600 * SECOND, Candidate("d1"))[0].why)

    def test_a_refusal_by_the_planners_is_told_once_and_an_old_one_is_not_for_the_next_try(self):
        keeper = Keeper("d0", Windows(), True)
        keeper.obey(BEFORE, self.part())
        keeper.handed(BEFORE, Candidate("d1"))
        refusal = ["d1", "why", "do", BEFORE + SECOND]
        self.assertEqual(
            keeper.obey(BEFORE + SECOND, self.part(refused=[refusal])), [Refused("d1", "why", "do"), Keep("d0")]
        )
        keeper.handed(BEFORE + 9 * SECOND, Candidate("d1"))
        self.assertEqual(keeper.obey(BEFORE + 9 * SECOND, self.part(refused=[refusal])), [Keep("d0")])
        self.assertEqual(keeper.staged.digest, "d1")

    def test_one_that_lacks_the_agreed_reads_its_files_once_and_an_unknown_one_takes_no_reqs(self):
        keeper = Keeper("d0", Windows((FAIR,)), False)
        self.assertFalse(keeper.takes)
        self.assertEqual(keeper.obey(WITHIN, self.part("d2")), [Lacking("d2")])
        self.assertEqual(keeper.obey(WITHIN, self.part("d2")), [])
        self.assertFalse(keeper.takes)
        # Agreed before the window: taking it is no change of the configuration, but catching up.
        self.assertEqual(keeper.handed(WITHIN, Candidate("d2")), [Adopt(Candidate("d2"))])
        self.assertTrue(keeper.takes)

    def test_the_agreed_one_is_kept_for_the_next_start_and_one_changed_by_hand_is_not_believed(self):
        config = {"name": "g1", "listen": "x:1", "discovery": "d", "counter": "c", "settings": {"zone": 1, "a": 2}}
        bundle = make_bundle(config, "op", None)
        other = make_bundle({**config, "name": "g2", "listen": "x:2", "settings": {"zone": 0, "a": 2}}, "op", None)
        self.assertEqual(bundle.digest, other.digest)  # an instance's own fields are no part of it
        for changed in (
            make_bundle({**config, "counter": "e"}, "op", None),
            make_bundle(config, "po", None),
            make_bundle(config, "op", "routes"),
            make_bundle({**config, "settings": {}}, "op", None),
        ):
            self.assertNotEqual(bundle.digest, changed.digest)
        with tempfile.TemporaryDirectory() as folder:
            kept = Kept(Path(folder) / "deep")
            self.assertIsNone(kept.load())
            kept.save(bundle)
            self.assertEqual(kept.load(), bundle)
            kept.path.write_text(kept.path.read_text().replace('"op"', '"no"'))
            with self.assertRaises(BadBundle) as why:
                kept.load()
            self.assertIn("remove it", str(why.exception))


class Fleet(unittest.TestCase):
    """Planners and instances on the emulated clock, clocks up to the skew apart, a window that opens while links are cut and
    changes are handed to some or all: what was agreed, and what each instance served when, is taken from records."""

    def play(self, seed, windows_of=lambda windows: windows, length=90):
        opens, closes = unix(2026, 1, 2), unix(2026, 1, 2, 0, 0, 40)
        window = Window("rush", "UTC", datetime(2026, 1, 2), datetime(2026, 1, 2, 0, 0, 40))
        begin, served, folder = int((opens - 40) * SECOND), [], {}

        def windows():
            return Windows((window,), skew=0.5)

        def parts(process):
            kept = folder.get(process.name)
            return {"config": Keeper(kept or "d0", windows(), kept is not None)}

        lab = AgreementLab(
            seed,
            3,
            6,
            begin=begin,
            skew=SECOND // 2,
            parts=parts,
            advisers=lambda n: {"config": FreezeAdviser(windows_of(windows()), 3, 8 * SECOND)},
        )
        files = {process.name: "d0" for process in lab.followers}

        def carried(process, orders):
            for order in orders:
                if type(order) is Adopt:
                    served.append((lab.now, process.name, order.candidate.digest))
                if type(order) in (Adopt, Keep):
                    folder[process.name] = process.parts["config"].serving
                elif type(order) is Lacking:
                    hand(process)

        def hand(process):
            if process.alive:
                carried(
                    process, process.parts["config"].handed(lab.now + process.offset, Candidate(files[process.name]))
                )

        lab.carried = carried
        chance, number = random.Random(f"freeze:{seed}"), iter(range(1, 1000))

        def fault():
            kind, everyone = chance.randrange(6), [*lab.planners, *lab.followers]
            if kind < 3:
                digest = f"d{next(number)}"
                for process in lab.followers:
                    if kind or chance.random() < 0.7:
                        files[process.name] = digest
                        hand(process)
            elif kind == 3:
                side = [p for p in everyone if chance.random() < 0.4]
                lab.cut(side, [p for p in everyone if p not in side])
                lab.later(chance.randrange(6 * SECOND), lab.heal)
            elif kind == 4:
                lab.pause(chance.choice(everyone), chance.randrange(5 * SECOND))
            else:
                process = chance.choice(lab.followers)
                if process.alive:
                    lab.kill(process)
                    lab.later(chance.randrange(4 * SECOND), lab.start, process)
            if lab.now < begin + (length - 10) * SECOND:
                lab.later(chance.randrange(3 * SECOND), fault)

        lab.later(3 * SECOND, fault)
        lab.run(begin + length * SECOND)
        lab.heal()
        settled = lab.run_until(lab.settled, 30 * SECOND)
        # Each digest that was agreed, and when first known to a planner.
        agreed, wrong = {}, list(lab.records.wrong)
        before = None
        for version in sorted(lab.records.decided):
            order, at = lab.records.decided[version]
            now = (order.parts.get("config") or {}).get("now")
            if now != before:
                agreed[now] = at
                # Clocks are up to half the skew beyond the lab's own.
                if before is not None and opens * SECOND <= at <= closes * SECOND:
                    wrong.append(f"{now} agreed {(at / SECOND) - opens:.1f} s into the window")
                before = now
        wrong += [
            f"{name} serves {digest}" for at, name, digest in served if digest not in agreed or at < agreed[digest]
        ]
        return wrong, settled, len(agreed), {p.parts["config"].serving for p in lab.followers}, before

    def test_no_change_is_agreed_within_the_window_and_all_end_on_what_was_agreed(self):
        changes = 0
        for seed in range(12):
            wrong, settled, agreed, serving, now = self.play(seed)
            self.assertEqual((wrong, settled), ([], True), seed)
            changes += agreed
            # Those whose files are others serve what they have until they are handed it.
            self.assertIn(now, serving)
        self.assertGreater(changes, 24)

    def test_a_window_checked_on_one_side_only_is_found(self):
        # Planners that know of no window, and instances that do not look by themselves.
        def none(windows):
            return Windows(skew=0.5)

        with unittest.mock.patch.object(Keeper, "_frozen", lambda self, digest: None):
            self.assertTrue(any(self.play(seed, none)[0] for seed in range(6)))
