"""What the control state has to hold on the worst days (docs/control-state.md), each brought about on control planes of the
simulation: a majority before anything is told, one configuration a number, members by agreement, snapshots, fencing."""

from functools import partial

import msgspec
import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from fernyard.cluster.common.registry import Registry
from fernyard.cluster.control_plane import commands, events
from fernyard.cluster.control_plane.bodies import UNUSED_RETENTION, area_of
from fernyard.cluster.control_plane.leadership import MembershipKey
from fernyard.cluster.control_plane.learner import SERVED_WITHIN
from fernyard.cluster.control_plane.messages import (
    Accept,
    Prepare,
    Promise,
    ReplicaHeartbeat,
)
from fernyard.cluster.control_plane.peer_table import PeerTable
from fernyard.cluster.control_plane.replica import Replica
from fernyard.cluster.control_plane.replica_context import ReplicaSettings
from fernyard.cluster.control_plane.state import (
    ConfigurationId,
    Member,
    OutdatedChangeError,
    ProposalNumber,
    ReplaceMember,
    Vote,
    founding_state,
)
from fernyard.cluster.control_plane.voter import VOTE_AREA

from .control_planes import DISK_DELAY, LINK_DELAY, TICK, ControlPlanes
from .history import History
from .machines import Deferred, Disk
from .schedules import SYNC

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
SETTINGS = ReplicaSettings("a", IPS[0], True, IPS, 1)
FOUNDED = founding_state(IPS)
CUT_OFF = 20.0  # seconds
FAR = 0.055  # of a link between regions
ID = ConfigurationId.of(1, b"one")


def heartbeat(ask, answers, accepted, member=FOUNDED.voters[1], incarnation=2, acknowledged_incarnation=1):
    return ReplicaHeartbeat(
        "b",
        member,
        incarnation,
        ask,
        acknowledged_incarnation,
        answers,
        accepted,
        accepted,
        1,
        True,
        True,
        False,
        False,
        (0, 0),
    )


def stored(executed):
    return [command for command in executed if type(command) is commands.StoreArea]


class TestOneReplica(testtools.TestCase):
    """Faults found by reading, each by the few events that bring it about."""

    def replica(self, vote=None, bodies=None, incarnation=1):
        """One whose first vote is on its disk."""
        vote = vote or Vote(FOUNDED.voters[0], None, ProposalNumber(0, 0), FOUNDED)
        replica = Replica(0.0, SETTINGS, incarnation, vote, bodies or {})
        for command in stored(replica.step(0.0, events.Tick())):
            replica.step(0.0, events.AreaStored(command.area, True))
        return replica

    def test_a_heartbeat_overtaken_by_another_with_the_same_sequence_does_not_take_its_place(self):
        peers, own = PeerTable(1), Vote(FOUNDED.voters[0], None, ProposalNumber(0, 0), FOUNDED)
        ask = peers.next_sequence(10.0)
        peers.record_heartbeat(10.1, heartbeat(5, ask, ProposalNumber(3, 2)))
        peers.record_heartbeat(
            10.2, heartbeat(5, 9, ProposalNumber(0, 0), acknowledged_incarnation=77)
        )  # sent before, to our former incarnation
        self.assertThat(peers.confirmed_at(10.2, own, ProposalNumber(0, 0), FOUNDED), Equals(None))

    def test_a_body_stays_while_a_vote_for_it_is_on_its_way_to_the_disk(self):
        replica = self.replica()
        for command in stored(replica.step(1.0, events.BodyReceived(ID, b"one"))):
            replica.step(1.0, events.AreaStored(command.area, True))
        state = msgspec.structs.replace(FOUNDED, configuration=ID, revision=1)
        (vote,) = stored(replica.step(2.0, events.MessageReceived(IPS[1], Accept(ProposalNumber(1, 2), state))))
        executed = replica.step(2.0 + UNUSED_RETENTION, events.Tick()) + replica.step(
            2.0 + UNUSED_RETENTION, events.AreaStored(VOTE_AREA, True)
        )
        self.assertThat(replica.vote.state.configuration, Equals(ID))
        self.assertNotIn(commands.EraseArea(area_of(ID)), executed)

    def test_a_vote_read_from_the_disk_counts_also_where_its_configuration_is_lost(self):
        state = msgspec.structs.replace(FOUNDED, configuration=ID, revision=1)
        replica = self.replica(Vote(FOUNDED.voters[0], ProposalNumber(4, 2), ProposalNumber(4, 2), state))
        self.assertIsNotNone(replica.vote)

    def test_a_round_that_was_suspended_with_its_process_proposes_nothing(self):
        replica = self.replica()
        executed = replica.step(1.0, events.EvacuationSubmitted(7, "z1", True))
        prepare = next(o.message for o in executed if type(o) is commands.SendMessage and type(o.message) is Prepare)
        promise = Promise(FOUNDED.voters[1], prepare.proposal_number, ProposalNumber(0, 0), FOUNDED)
        replica.step(1.0, events.AreaStored(VOTE_AREA, True))
        executed = replica.step(1.0 + CUT_OFF, events.MessageReceived(IPS[1], promise))
        self.assertThat(
            [o for o in executed if type(o) is commands.SendMessage and type(o.message) is Accept], Equals([])
        )

    def test_an_evacuation_right_after_a_slow_start_is_no_call_from_before(self):
        """Before its first step a replica has no sockets; a second between its making and that step is no suspension. One between
        two steps is."""
        for first_step, submitted, rejected in ((2.0, 2.05, False), (0.0, 2.05, True)):
            replica = Replica(0.0, SETTINGS, 1, Vote(FOUNDED.voters[0], None, ProposalNumber(0, 0), FOUNDED), {})
            replica.step(first_step, events.Tick())
            executed = replica.step(submitted, events.EvacuationSubmitted(7, "z1", True))
            self.assertThat(commands.CompleteCall(7, 503) in executed, Equals(rejected), first_step)


class TestMembers(testtools.TestCase):
    """Point 3: the number of those that vote is whole again within `SYNC` of a newcomer's start, and the next loss is borne."""

    def begin(self, names, **options):
        planes = ControlPlanes(names, **options)
        planes.run(SYNC)
        self.assertThat(planes.finish(planes.put("a", 1)), Equals(200))
        return planes

    def check(self, planes, size, case):
        """All is well again: a change at each machine is taken, the voters are as many as ever, and the history holds."""
        for machine in planes.running():
            answer = planes.put(machine.name, 10 + int(planes.now * 100))
            self.assertThat(planes.finish(answer), Equals(200), (case, machine.name))
        planes.run(1.0)
        self.assertTrue(planes.is_settled(), case)
        self.assertThat(len(planes.state(planes.running()[0].name).voters), Equals(size), case)
        self.assertThat(History(planes).check(), Equals([]), case)

    def replace(self, planes, how, name):
        if how == "planned":
            planes.add("n")
            planes.start("n")
            planes.run(SYNC)
            planes.shut_down(name)
        elif how == "unplanned":
            planes.kill(name)
            planes.run(0.5)
            planes.add("n")
            planes.start("n")
            planes.run(SYNC)
        else:
            planes.wipe(name)
            planes.start(name)
            planes.run(SYNC)

    def test_the_next_loss_is_borne(self):
        for names in ("abc", "abcde"):
            for how in ("planned", "unplanned", "wiped"):
                for first in names[0], names[-1]:
                    with self.subTest(names=names, how=how, first=first):
                        planes = self.begin(names)
                        self.replace(planes, how, first)
                        lost = [name for name in names if name != first][: planes.faults]
                        planes.kill(*lost)
                        planes.run(SYNC)
                        self.check(planes, len(names), (names, how, first))

    def test_a_loss_50_ms_after_the_change_was_decided_is_borne(self):
        """Both after the state that asks both groups, and after the one that follows it; the lost one may hold the lease."""
        for delay in (0.002, 0.02):
            for begun in (True, False):
                for second in "ab":
                    with self.subTest(delay=delay, begun=begun, second=second):
                        planes = self.begin("abc", delay=delay)
                        planes.kill("c")
                        planes.add("n")
                        planes.start("n")
                        changed = partial(self.is_changed, planes, begun)
                        self.assertIsNotNone(planes.run_until(changed, SYNC))
                        planes.run(0.05)
                        planes.kill(second)
                        planes.run(SYNC)
                        self.check(planes, 3, (delay, begun, second))

    def is_changed(self, planes, begun):
        states = [machine.replica.state for machine in planes.running() if machine.replica.state]
        return any(state.epoch > 1 and bool(state.previous) == begun for state in states)

    def test_one_that_was_only_cut_off_returns_and_waits(self):
        for names in ("abc", "abcde"):
            planes = self.begin(names)
            planes.add("n")
            planes.start("n")
            planes.isolate("a")
            planes.run(SYNC)
            self.assertThat(planes.put("a", 3).status, Equals(None))
            self.assertThat(planes.finish(planes.put("b", 4)), Equals(200))
            planes.heal()
            planes.run(SYNC)
            self.assertNotIn(planes.machines["a"].replica.member, planes.state("a").voters)
            planes.kill("b")  # and it takes the place of the next that is lost
            planes.run(SYNC)
            self.assertIn(planes.machines["a"].replica.member, planes.state("a").voters)
            self.check(planes, len(names), names)

    def test_the_first_voters_are_as_many_as_are_needed_soon_after_the_start(self):
        """Cause: votes for the lease that the losers kept for themselves, two and two of four."""
        for seed in range(40):
            planes = ControlPlanes("abcde", seed, delay=FAR)
            planes.run(SYNC)
            self.assertTrue(planes.is_settled(), seed)
            self.assertThat(len(planes.state("a").voters), Equals(5), seed)

    def test_a_wiped_disk_is_replaced_soon_after_a_loss_of_power_of_all(self):
        for seed in range(40):
            planes = ControlPlanes(seed=seed, loss=0.03)
            planes.run(SYNC)
            for name in "abc":
                planes.wipe(name) if name == "b" else planes.lose_power(name)
            for name in "abc":
                planes.start(name)
                planes.run(0.1)
            planes.run(SYNC)
            self.assertThat(planes.voters("a"), Equals("abc"), seed)


class TestSuspended(testtools.TestCase):
    """Point 5, and what point 1 says of a frozen machine: nothing from before is done after it wakes."""

    def begin(self):
        planes = ControlPlanes()
        planes.run(SYNC)
        holder = planes.lease_holder().name
        others = [name for name in "abc" if name != holder]
        return planes, holder, others

    def test_an_order_from_before_does_not_undo_a_later_one(self):
        """Sent to the frozen one itself, or to another that hands it to the frozen one."""
        for sent_to_suspended in (True, False):
            planes, holder, (other, third) = self.begin()
            planes.suspend(holder)
            planes.evacuate(holder if sent_to_suspended else other, "z1")
            planes.run(0.3)
            again = planes.evacuate(third, "z1")
            self.assertThat(planes.finish(again), Equals(200))
            planes.run(SYNC)
            self.assertThat(planes.finish(planes.evacuate(third, "z1", False)), Equals(200))
            planes.run(CUT_OFF - SYNC)
            planes.resume(holder)
            planes.run(SYNC)
            self.assertThat(planes.state(holder).evacuated_zones, Equals([]), sent_to_suspended)
            self.assertThat(History(planes).check(), Equals([]), sent_to_suspended)

    def test_an_overtaken_order_forwarded_to_a_suspended_lease_holder_changes_nothing(self):
        """Guards against an acknowledged evacuation that a late copy of the order before it undoes (review/3)."""
        for orders in ((True, False, True), (False, True, False)):
            for pause in (0.0, 0.3):
                planes, holder, (other, third) = self.begin()
                first, overtaken, last = orders
                for evacuated in (not first, first):
                    self.assertThat(planes.finish(planes.evacuate(other, "z1", evacuated)), Equals(200))
                planes.suspend(holder)
                stopped_at = planes.now
                planes.run(0.1)
                self.assertThat(planes.finish(planes.evacuate(other, "z1", overtaken)), Equals(200))
                planes.run(pause)
                self.assertThat(planes.finish(planes.evacuate(third, "z1", last)), Equals(200))
                planes.run(1.6 - (planes.now - stopped_at))
                planes.resume(holder)
                planes.run(SYNC)
                expected = ["z1"] if last else []
                self.assertThat(planes.state(third).evacuated_zones, Equals(expected), (orders, pause))
                self.assertThat(History(planes).check(), Equals([]), (orders, pause))

    def test_a_lease_holder_that_was_suspended_does_nothing_under_its_old_term(self):
        """It was about to replace a member and to write the registry; others have done both since."""
        planes, holder, (other, third) = self.begin()
        frozen = planes.machines[holder]
        term, members = frozen.replica.term(), planes.state(holder)
        planes.add("n")
        planes.start("n")
        planes.run(1.0)
        late = ReplaceMember(
            members.epoch, term, planes.machines[other].replica.member, planes.machines["n"].replica.member
        )
        planes.suspend(holder)
        frozen.suspended.append(Deferred(frozen.replica.proposer.submit, (planes.now + CUT_OFF, MembershipKey(), late)))
        registry, follower = Registry(), Registry()
        registry.write(term, {}, {})
        planes.run(CUT_OFF)
        successor = next(m.replica for m in planes.running() if m.replica.lease_held)
        self.assertThat(successor.term(), GreaterThan(term))
        follower.write(successor.term(), {}, {})
        before = successor.state
        acted = []
        planes.resume(holder, lambda: acted.append(frozen.replica.term()))
        planes.run(SYNC)
        self.assertThat([held for held in acted[1:] if held == term], Equals([]))
        self.assertFalse(follower.follow(registry.since((0, 0), 0.0), 0.0))
        self.assertThat(planes.state(holder).voters, Equals(before.voters))
        self.assertTrue(planes.is_settled())

    def test_a_change_of_members_of_an_earlier_epoch_or_term_is_refused(self):
        state = msgspec.structs.replace(FOUNDED, epoch=4, term=7)
        new = Member("10.0.0.4", 5)
        for epoch, term, removed, added in (
            (3, 7, FOUNDED.voters[0], new),
            (4, 6, FOUNDED.voters[0], new),
            (4, 7, new, Member("10.0.0.5", 6)),
            (4, 7, FOUNDED.voters[0], FOUNDED.voters[1]),
        ):
            self.assertRaises(OutdatedChangeError, ReplaceMember(epoch, term, removed, added).apply, state)
        begun = ReplaceMember(4, 7, FOUNDED.voters[0], new).apply(state)
        self.assertRaises(
            OutdatedChangeError, ReplaceMember(5, 7, FOUNDED.voters[1], Member("10.0.0.5", 6)).apply, begun
        )


class TestMajorityFirst(testtools.TestCase):
    """Point 1: what a cut-off machine says for 20 s, and when it is back."""

    def test_a_cut_off_machine_tells_and_confirms_nothing_and_refuses_nothing(self):
        for names in ("abc", "abcde"):
            for fault in ("isolate", "deafen", "mute", "suspend"):
                for leads in (True, False):
                    for seed in range(1, 4):
                        with self.subTest(names=names, fault=fault, leads=leads, seed=seed):
                            self.cut_off(names, fault, leads, seed)

    def cut_off(self, names, fault, leads, seed):
        planes = ControlPlanes(names, seed)
        planes.run(SYNC)
        self.assertThat(planes.finish(planes.put("a", 1)), Equals(200))
        victim = next(m for m in planes.running() if m.replica.lease_held == leads)
        others = [name for name in names if name != victim.name]
        getattr(planes, fault)(victim.name)
        began, answers = planes.now, []
        for version in range(2, 22):
            planes.run(0.1)
            other = planes.put(victim.name, version, "other")
            answers += [other, planes.evacuate(victim.name, "z"), planes.get(victim.name)]
            answer = planes.put(others[version % len(others)], version)
            planes.run(0.9)
            # One that is deaf still sends: its bytes may be the first under a version, and others are refused then.
            is_taken = fault == "deafen" and answer.conflicting == other.call.id
            self.assertThat(answer.status, Equals(409 if is_taken else 200), version)
            if fault != "suspend" and planes.now - began > SERVED_WITHIN:
                self.assertIsNone(victim.replica.served_state(planes.now), version)
        self.assertThat({a.status for a in answers if a.answered_at < planes.now} - {503, None}, Equals(set()))
        planes.heal()
        planes.resume(victim.name)
        read = planes.get(victim.name)
        self.assertThat(planes.finish(read, 3.0), Equals(200))
        self.assertThat(read.body, Equals(b"v21"))
        planes.run(SYNC)
        self.assertTrue(planes.is_settled())
        self.assertThat(History(planes).check(), Equals([]))


class TestOneNumber(testtools.TestCase):
    """Point 2: same number, other bytes."""

    def begin(self):
        planes = ControlPlanes()
        planes.run(SYNC)
        self.assertThat(planes.finish(planes.put("a", 4)), Equals(200))
        return planes

    def check(self, planes):
        planes.run(SYNC)
        self.assertTrue(planes.is_settled())
        self.assertThat(History(planes).check(), Equals([]))

    def test_two_operators_at_two_machines(self):
        """At once, or one after the other; the second is told that the number is taken, and what holds it."""
        for delay in (LINK_DELAY, FAR):
            for pause in (0.0, 0.002, 0.004, 0.01, 0.05, 0.3, 2.0):
                for first, second in ("ab", "bc", "ca", "aa"):
                    planes = ControlPlanes(delay=delay)
                    planes.run(SYNC)
                    answers = [planes.put(first, 5, "x")]
                    planes.run(pause)
                    answers.append(planes.put(second, 5, "y"))
                    planes.run(1.0)
                    self.assertThat(sorted(a.status for a in answers), Equals([200, 409]), (delay, pause, first))
                    conflicting = next(a for a in answers if a.status == 409).conflicting
                    self.assertThat(conflicting, Equals(planes.state("c").configuration))
                    self.check(planes)

    def test_a_lost_answer_retries_elsewhere_and_a_restart_of_all(self):
        """The same bytes again are confirmed, or get no clear answer; other bytes are refused for ever, also after newer."""
        planes = self.begin()
        planes.put("a", 5, "x")
        planes.run(0.004)
        planes.lose_power("a")  # its caller hears nothing
        retry = planes.put("b", 5, "x")
        self.assertThat(planes.finish(retry), Equals(200))
        self.assertThat(planes.finish(planes.put("c", 5, "y")), Equals(409))
        for name in "abc":
            planes.lose_power(name)
        for name in "abc":
            planes.start(name)
        planes.run(SYNC)
        for name, text, status in (("a", "x", 200), ("b", "y", 409), ("c", "x", 200)):
            self.assertThat(planes.finish(planes.put(name, 5, text)), Equals(status), (name, text))
        self.assertThat(planes.finish(planes.put("a", 9)), Equals(200))
        for name, text, status in (("a", "x", 200), ("b", "y", 409), ("c", "x", 200)):
            self.assertThat(planes.finish(planes.put(name, 5, text)), Equals(status), (name, text))
        self.assertThat(planes.finish(planes.put("a", 2, "older")), Equals(200))
        self.check(planes)

    def test_a_first_try_still_under_way_at_a_machine_that_is_cut_off(self):
        """It is tried again elsewhere with other bytes in between; the first one comes back and changes nothing."""
        planes = self.begin()
        planes.isolate("a")
        first = planes.put("a", 5, "x")
        self.assertThat(planes.finish(planes.put("b", 5, "y")), Equals(200))
        planes.heal()
        planes.run(2.0)
        self.assertIn(first.status, (409, 503))
        self.assertThat(planes.state("a").configuration, Equals(planes.state("b").configuration))
        self.check(planes)


class TestFounding(testtools.TestCase):
    """Point 3: the first start founds exactly one membership."""

    def test_a_seed_that_starts_late_or_dies_in_the_first_second(self):
        for seed in range(10):
            for fault in ("late", "kill", "wipe", "lose_power"):
                planes = ControlPlanes("abcd", seed, faults=1)
                planes.kill("b") if fault == "late" else planes.run(0.1 * seed)
                if fault == "late":
                    planes.run(1.0)
                    planes.start("b", bootstrap=True)
                else:
                    getattr(planes, fault)("b")
                    planes.run(1.0)
                    planes.start("b")
                planes.run(SYNC + 1.0)
                self.assertTrue(planes.is_settled(), (seed, fault))
                self.assertThat(len(planes.state("a").voters), Equals(3))
                self.assertThat(planes.finish(planes.put("b", 3)), Equals(200), (seed, fault))

    def test_other_seeds_or_ones_that_are_cut_off_found_no_second_one(self):
        planes = ControlPlanes()
        planes.run(SYNC)
        for name in "mno":
            planes.add(name)
        planes.partition(*(x + y for x in "abc" for y in "mno"), *(y + x for x in "abc" for y in "mno"))
        planes.seeds = tuple(planes.machines[name].ip for name in "mno")
        for name in "mno":
            planes.start(name)
        planes.run(SYNC)
        self.assertThat([planes.state(name) for name in "mno"], Equals([None] * 3))
        self.assertThat(planes.finish(planes.put("m", 3)), Equals(503))
        planes.seeds = (planes.machines["m"].ip, planes.machines["a"].ip)
        planes.kill("m")
        planes.heal()
        planes.start("m")
        planes.run(SYNC)
        self.assertThat(planes.voters("m"), Equals("abc"))
        self.assertTrue(planes.is_settled())


class TestSnapshots(testtools.TestCase):
    """Point 4: one that comes back is at the newest by one exchange, and nothing grows with the number of changes."""

    def test_500_changes_with_troubles_in_their_midst(self):
        sizes, sent = {}, {}
        planes = ControlPlanes("abc")
        planes.run(SYNC)
        faults_played = ("lose_power", "wipe", "stalled", "full", "isolate")
        fault = None
        for version in range(1, 501):
            self.assertThat(planes.finish(planes.put("ab"[version % 2], version)), Equals(200), version)
            if version % 50 == 20:
                fault = faults_played[version // 50 % len(faults_played)]
                planes.set_disk("c", Disk(fault)) if fault in ("stalled", "full") else getattr(planes, fault)("c")
            if version % 50 == 40:
                self.come_back(planes, fault)
            if version in (10, 100, 500):
                planes.run(SYNC + UNUSED_RETENTION)
                before, began = planes.bytes_sent, planes.now
                planes.run(10.0)
                sent[version] = (planes.bytes_sent - before) / (planes.now - began)
                areas = planes.machines["c"].areas
                sizes[version] = len(areas), sum(map(len, areas.values()))
        self.assertThat(sizes[500][0], Equals(2))  # the vote and one configuration
        # Numbers of more digits take more bytes, and no more of them are kept.
        self.assertThat(sizes[500][1], LessThan(sizes[100][1] * 1.25))
        self.assertThat(sent[500], LessThan(sent[100] * 1.1))
        self.assertThat(History(planes).check(), Equals([]))

    def come_back(self, planes, fault):
        planes.heal()
        planes.set_disk("c", Disk.WORKING)
        if planes.machines["c"].replica is None:
            planes.start("c")
        newest = planes.state("a").configuration
        took = planes.run_until(
            lambda: planes.state("c") is not None and planes.state("c").configuration == newest, SYNC
        )
        # A heartbeat each way, and the body.
        self.assertThat(took, LessThan(2 * TICK + 6 * LINK_DELAY + 2 * DISK_DELAY + 0.02), fault)
        planes.run(SYNC)
        self.assertThat(planes.voters("a"), Equals("abc"), fault)
