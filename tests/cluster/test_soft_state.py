"""Soft state that is told again: the lease, the registry, how update reaches a zone, who watches whom."""

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common import lease, rendezvous
from fernyard.cluster.common.messages import (
    NO_VERSION,
    GatewayAddress,
    GatewayHeartbeat,
    Worker,
    decode_registry_update,
    encode,
)
from fernyard.cluster.common.registry import MAX_REMOVALS, Registry
from fernyard.cluster.control_plane.discovery import HEARTBEAT_TIMEOUT, LONG_TTL, TTL, Discovery
from fernyard.cluster.data_plane.subscription import Subscriber, Versions

MEMBERS = ["a", "b", "c"]


class TestLease(testtools.TestCase):
    def hold_round(self, now, candidates, voters, cut=()):
        """One round of requests, all sent at once and then received; names of the lease holders after it."""
        requests = []
        for rank, (name, candidate) in enumerate(sorted(candidates.items())):
            epoch_seen = max(voter.epoch for voter in voters.values())
            terms = candidate.next_request(now, rank, voters[name].granted_until, epoch_seen)
            if terms:
                requests.append((name, terms))
        for name, terms in requests:
            # One's own vote is given when one sends the request, before any other's request is received.
            candidates[name].reply(now, name, terms, voters[name].request(now, name, terms.epoch), MEMBERS)
        for name, terms in requests:
            for other, voter in voters.items():
                if other == name or name + other in cut:
                    continue
                granted = voter.request(now, name, terms.epoch)
                if other + name not in cut:
                    candidates[name].reply(now, other, terms, granted, MEMBERS)
        return [name for name, candidate in candidates.items() if candidate.holds(now)]

    def test_never_two(self):
        """Whatever links are cut, a second holder never begins before the first has stopped."""
        for cut in ((), ("ab", "ac"), ("ab",), ("bc", "ab"), ("ac", "bc", "ab")):
            candidates = {name: lease.LeaseCandidate(name) for name in MEMBERS}
            voters = {name: lease.LeaseVoter(0.0, True) for name in MEMBERS}
            now, seen = 0.0, []
            while now < 12.0:
                held = self.hold_round(now, candidates, voters, cut if 3.0 < now < 8.0 else ())
                self.assertTrue(len(held) <= 1, (cut, now, held))
                seen += held
                now = round(now + 0.05, 6)
            self.assertTrue(seen[-1:], cut)

    def test_cut_off_holder_stops_and_another_begins(self):
        candidates = {name: lease.LeaseCandidate(name) for name in MEMBERS}
        voters = {name: lease.LeaseVoter(0.0, True) for name in MEMBERS}
        now = 0.0
        while now < 2.0:
            self.hold_round(now, candidates, voters)
            now = round(now + 0.05, 6)
        self.assertTrue(candidates["a"].holds(now))
        epoch = candidates["a"].epoch
        while now < 6.0:
            held = self.hold_round(now, candidates, voters, ("ab", "ac"))
            now = round(now + 0.05, 6)
        self.assertThat(held, Equals(["b"]))
        self.assertTrue(candidates["b"].epoch > epoch)

    def test_a_lost_answer_is_asked_for_again(self):
        """Guards against 1.6 s without a holder for one lost datagram: our own vote is bound to a request that nobody answered."""
        for lost in (1, 2):
            candidate, voters = lease.LeaseCandidate("a"), {name: lease.LeaseVoter(0.0, True) for name in "ab"}
            terms = candidate.next_request(0.0, 0, 0.0, 0)
            candidate.reply(0.0, "a", terms, voters["a"].request(0.0, "a", terms.epoch), MEMBERS)
            voters["b"].request(0.0, "a", terms.epoch)  # it is granted, and the answer is lost
            now = 0.0
            while not candidate.holds(now) and now < 3.0:
                now = round(now + 0.05, 6)
                if "b" in candidate.resend(now, MEMBERS):
                    granted, lost = voters["b"].request(now, "a", terms.epoch), lost - 1
                    if not lost:
                        candidate.reply(now, "b", terms, granted, MEMBERS)
            self.assertTrue(now < 0.5, now)
            # It counts from the first time the request was sent, and ends before both votes do.
            self.assertThat(candidate.held_until, Equals(lease.LEASE_DURATION - lease.SAFETY_MARGIN))

    def test_a_request_that_nobody_answers_leaves_the_votes_free_before_the_next_one(self):
        candidate, voter = lease.LeaseCandidate("a"), lease.LeaseVoter(0.0, True)
        terms = candidate.next_request(0.0, 0, 0.0, 0)
        voter.request(0.0, "a", terms.epoch)
        for step in range(1, 40):
            if candidate.resend(0.05 * step, MEMBERS):
                voter.request(0.05 * step, "a", terms.epoch)
        self.assertTrue(voter.granted_until < candidate.next_request_at)

    def test_all_at_once(self):
        """All begin in the same moment and beat in step: one of them soon holds it, and keeps it."""
        candidates = {name: lease.LeaseCandidate(name) for name in MEMBERS}
        voters = {name: lease.LeaseVoter(0.0, True) for name in MEMBERS}
        held = [self.hold_round(0.2 * step, candidates, voters) for step in range(40)]
        self.assertThat(held[10:], Equals([held[10]] * 30))
        self.assertThat(len(held[10]), Equals(1))

    def test_one_whose_answers_are_cut_off_does_not_keep_the_votes(self):
        """Its asks arrive and take the votes, what is granted does not come back: another must get them in the end."""
        candidates = {name: lease.LeaseCandidate(name) for name in MEMBERS}
        voters = {name: lease.LeaseVoter(0.0, True) for name in MEMBERS}
        held = [self.hold_round(0.2 * step, candidates, voters, ("ba", "ca")) for step in range(40)]
        self.assertIn(["b"], held[:26])

    def test_a_vain_candidate_goes_on_granting_to_the_holder(self):
        """One that asked in vain has voted for itself under a higher epoch: the holder goes above it, and does not depend on
        the third member from then on."""
        holder, votes = lease.LeaseCandidate("a"), {name: lease.LeaseVoter(0.0, True) for name in MEMBERS}

        def renew(now, members):
            terms = holder.next_request(now, 0, votes["a"].granted_until, 0)
            for name in members:
                granted = votes[name].request(now, "a", terms.epoch)
                if not granted:
                    holder.epoch_refused(votes[name].epoch)
                holder.reply(now, name, terms, granted, MEMBERS)

        renew(0.0, "ab")
        self.assertTrue(votes["c"].request(0.1, "c", 9))
        for step in range(1, 6):
            renew(0.3 * step, "abc")
        for step in range(6, 13):
            renew(0.3 * step, "ac")  # b is gone
        self.assertTrue(holder.holds(4.0))

    def test_voter_that_restarted_waits(self):
        voter = lease.LeaseVoter(5.0, False)
        self.assertFalse(voter.request(5.1, "a", 9))
        self.assertTrue(voter.request(5.0 + lease.LEASE_DURATION, "a", 9))
        self.assertFalse(voter.request(5.1 + lease.LEASE_DURATION, "b", 9))
        self.assertFalse(voter.request(9.0 + lease.LEASE_DURATION, "b", 8))


def worker(number, **told):
    return Worker(f"w{number}", "s", f"10.1.0.{number}:1", "z", 4, told.get("draining", False), told.get("cold", 0.0))


class TestRegistry(testtools.TestCase):
    def follow(self, follower, leader, now=0.0, shift=0.0):
        update = decode_registry_update(encode(leader.since(follower.version, now)))
        return follower.follow(update, now + shift)

    def test_snapshot_then_changes(self):
        leader, follower = Registry(), Registry()
        leader.write(1, {"w1": worker(1), "w2": worker(2)}, {})
        self.assertTrue(self.follow(follower, leader))
        leader.write(1, {"w2": worker(2, draining=True), "w3": worker(3)}, {})
        update = leader.since(follower.version, 0.0)
        self.assertThat(sorted(update.workers), Equals(["w1", "w2", "w3"]))
        self.assertThat(update.workers["w1"], Equals(None))
        self.assertTrue(self.follow(follower, leader))
        self.assertThat(follower.workers, Equals(leader.workers))
        self.assertFalse(leader.write(1, dict(leader.workers), {}))

    def test_marks_that_were_skipped_do_no_harm(self):
        """Each follows through another that saw fewer marks than it did: still changes, not snapshots (on the grown site
        a registry of 9 kB went to each gatekeeper each time)."""
        leader, between, follower = Registry(), Registry(), Registry()
        leader.write(1, {f"w{number}": worker(number) for number in range(50)}, {})
        self.follow(between, leader)
        self.follow(follower, leader)
        for step in range(6):
            leader.write(1, {f"w{number}": worker(number, draining=number <= step) for number in range(50 - step)}, {})
            self.follow(follower if step % 2 else between, leader)
        update = between.since(follower.version, 0.0)
        self.follow(between, leader)
        update = between.since((1, 3), 0.0)
        self.assertThat(update.since, Equals((1, 3)))
        self.assertTrue(0 < len(update.workers) < 12, update.workers)
        self.assertTrue(self.follow(follower, between) or follower.version == between.version)
        self.assertThat(follower.workers, Equals(leader.workers))

    def test_far_behind_takes_a_snapshot(self):
        leader, follower = Registry(), Registry()
        for number in range(MAX_REMOVALS + 9):
            leader.write(1, {f"w{number}": worker(number)}, {})
            if number == 0:
                self.follow(follower, leader)
        self.assertTrue(self.follow(follower, leader))
        self.assertThat(follower.workers, Equals(leader.workers))

    def test_kept_on_disk_it_is_a_start_and_no_more(self):
        before, after = Registry(), Registry()
        before.write(3, {"w1": worker(1, cold=50.0)}, {})
        after.follow(decode_registry_update(encode(before.to_store())), 0.0)
        self.assertThat(
            (sorted(after.workers), after.workers["w1"].cold_until, after.version), Equals((["w1"], 0.0, (3, 1)))
        )
        after.write(4, {"w2": worker(2)}, {})
        self.assertThat(sorted(after.workers), Equals(["w2"]))

    def test_never_back(self):
        old, new, follower = Registry(), Registry(), Registry()
        old.write(3, {"w1": worker(1)}, {})
        new.write(4, {"w2": worker(2)}, {})
        self.assertTrue(self.follow(follower, new))
        self.assertFalse(self.follow(follower, old))
        self.assertThat(sorted(follower.workers), Equals(["w2"]))

    def test_times_are_turned_into_the_followers_clock(self):
        leader, follower = Registry(), Registry()
        leader.write(1, {"w1": worker(1, cold=103.0)}, {})
        self.follow(follower, leader, now=100.0, shift=-60.0)
        self.assertThat(follower.workers["w1"].cold_until, Equals(43.0))


class TestSubscriber(testtools.TestCase):
    def subscriber(self, node="b"):
        follower = Subscriber(node, "z")
        follower.gateways = {name: GatewayAddress(name, f"ip-{name}", "z", "r", "", True) for name in "ab"}
        return follower

    def test_home_asks_at_once_others_wait_for_it(self):
        home = self.subscriber().home()
        other = "a" if home == "b" else "b"
        self.assertThat(len(self.subscriber(home).notified(0.0, "core", Versions(5))), Equals(1))
        waits = self.subscriber(other)
        self.assertThat(waits.notified(0.0, "core", Versions(5)), Equals([]))
        pulls = waits.notified(0.05, f"ip-{home}", Versions(5), by_home=True)
        self.assertThat([pull.ip for pull in pulls], Equals([f"ip-{home}"]))

    def test_silent_home_is_passed_by(self):
        home = self.subscriber().home()
        waits = self.subscriber("a" if home == "b" else "b")
        waits.notified(0.0, "core", Versions(5))
        self.assertThat(waits.due(0.1), Equals([]))
        self.assertThat([pull.ip for pull in waits.due(0.3)], Equals(["core"]))
        self.assertThat(waits.due(0.35), Equals([]))  # it is being asked
        waits.notified(0.4, "core2", Versions(5))
        waits.pull_ended("core2", Versions(5), waits.gateways)
        self.assertThat(waits.due(1.0), Equals([]))

    def test_same_few_wherever_asked(self):
        names = [f"n{number}" for number in range(40)]
        named = rendezvous.top("key", names, 3)
        self.assertThat(rendezvous.top("key", list(reversed(names)), 3), Equals(named))
        less = [name for name in names if name != named[0]]
        self.assertThat(rendezvous.top("key", less, 3)[:2], Equals(named[1:]))


def heartbeat(node, zone="z1", region="r1", ready=True, draining=False):
    return GatewayHeartbeat(node, 1, f"ip-{node}", zone, region, f"{node}:80", ready, draining, 0, NO_VERSION)


class TestDiscovery(testtools.TestCase):
    def test_resolve(self):
        watch = Discovery(0.0, {"z1": "r1", "z2": "r1", "z3": "r2"}, 40.0)
        for node, zone, region in (("a", "z1", "r1"), ("b", "z1", "r1"), ("c", "z2", "r1"), ("d", "z3", "r2")):
            watch.record_heartbeat(0.0, heartbeat(node, zone, region))
        for zone, region, gone, wanted in (
            ("z1", "r1", (), ["a:80", "b:80"]),
            ("z2", "r1", (), ["a:80", "b:80", "c:80"]),
            ("z1", "r1", ("a",), ["b:80", "c:80"]),
            ("z1", "r1", ("a", "b", "c", "d"), None),
        ):
            gateways = {node: gateway for node, gateway in watch.gateways(0.1).items() if node not in gone}
            self.assertThat(watch.resolve(0.1, zone, region, gateways), Equals(wanted), (zone, gone))
        self.assertThat(len(watch.resolve(0.1, "z3", "r2", watch.gateways(0.1))), Equals(2 + 1))

    def test_answers_hold_longer_while_a_control_plane_is_silent(self):
        """A look-up at a control plane without power costs a client a second: 151 requests late in 4 s of a calm day."""
        for name, peers_heard, gateway_heard, wanted in (
            ("all are heard", (9.9, 9.6), (9.9,), TTL),
            ("alone since the start", (), (9.9,), TTL),
            ("one missed some", (9.9, 8.9), (9.9,), TTL),
            ("one is silent", (9.9, 8.7), (9.9,), LONG_TTL),
            ("one is silent, a gateway's heartbeat is late", (9.9, 8.7), (9.0,), LONG_TTL),
            ("one is silent, a gateway may be", (9.9, 8.7), (7.0, 8.7), TTL),
            ("one is silent, a gateway with it", (9.9, 8.7), (8.7,), LONG_TTL),
            ("all are heard, a gateway is silent", (9.9, 9.9), (8.7,), TTL),
        ):
            watch = Discovery(0.0, {}, 40.0)
            for at in gateway_heard:
                watch.record_heartbeat(at, heartbeat("a"))
            self.assertThat(watch.ttl(10.0, peers_heard), Equals(wanted), name)

    def test_one_behind_a_full_link_is_not_taken_off_for_it(self):
        watch = Discovery(0.0, {}, 40.0)
        for at in (0.0, 0.3, 0.6, 0.9, 1.2, 1.5):
            watch.record_heartbeat(at, heartbeat("steady"))
            if not 0.3 < at < 1.2:
                watch.record_heartbeat(at, heartbeat("late"))
        self.assertThat(sorted(watch.gateways(2.8)), Equals(["late"]))
        self.assertThat(sorted(watch.gateways(5.0)), Equals([]))

    def test_silent_and_draining_go(self):
        watch = Discovery(0.0, {}, 40.0)
        watch.record_heartbeat(0.0, heartbeat("a"))
        watch.record_heartbeat(1.0, heartbeat("b"))
        watch.record_heartbeat(1.0, heartbeat("c", draining=True))
        self.assertThat(sorted(watch.gateways(HEARTBEAT_TIMEOUT + 0.1)), Equals(["b"]))

    def test_list_is_used_whole_and_a_spell_told_again_is_no_change(self):
        watch = Discovery(0.0, {}, 40.0)
        row = {"id": "w1", "svc": "s", "addr": "x:1", "zone": "z", "capacity": 3, "phase": "ready", "coldLeftS": 2.0}
        self.assertFalse(watch.add_list_page(0.0, [row], "next"))
        self.assertThat(watch.workers, Equals(None))
        self.assertTrue(watch.add_list_page(0.0, [{**row, "id": "w2", "coldLeftS": None, "phase": "draining"}], None))
        first = watch.workers
        self.assertTrue(first["w2"].draining)
        watch.add_list_page(0.5, [{**row, "coldLeftS": 1.4}], None)
        self.assertThat(watch.workers["w1"], Equals(first["w1"]))
        watch.add_list_page(5.0, [{**row, "coldLeftS": 3.0}], None)
        self.assertNotEqual(watch.workers["w1"], first["w1"])
