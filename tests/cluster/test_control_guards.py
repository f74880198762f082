"""Each guard of the control state is taken away in turn, and a run that holds with it fails. The guards of majorities are
taken away in tests/cluster/test_control_model.py as well, where everything that can happen is visited."""

from unittest import mock

import msgspec
import testtools
from testtools.matchers import Equals

from fernyard.accord.acceptor import StoreVote
from fernyard.cluster.control_plane import replica
from fernyard.cluster.control_plane.bodies import BodyCache
from fernyard.cluster.control_plane.proposer import ChangeKey
from fernyard.cluster.control_plane.recovery import recover
from fernyard.cluster.control_plane.replica import Replica
from fernyard.cluster.control_plane.state import (
    FOUNDING_DISK,
    ChangeRejectedError,
    ControlState,
    Member,
    ReplaceMember,
    SetConfiguration,
    SetEvacuation,
    Vote,
)
from fernyard.cluster.control_plane.voter import Voter

from . import control_planes
from .control_planes import ControlPlanes
from .history import History
from .machines import Disk
from .schedules import SYNC

EXECUTE, SET_CONFIGURATION, SET_EVACUATION = Voter._execute, SetConfiguration.apply, SetEvacuation.apply
HAS_QUORUM = ControlState.has_quorum


class LateKey(ChangeKey, frozen=True):
    """Names a change that comes too late."""


def begun():
    planes = ControlPlanes()
    planes.run(SYNC)
    planes.finish(planes.put("a", 1))
    planes.run(0.2)
    return planes


def restart(planes, names="abc"):
    for name in names:
        planes.set_disk(name, Disk.WORKING)
        planes.start(name)
    planes.run(SYNC)


# Runs, each of which gives what does not hold ------------------------------------------------------------------------


def stalled_disks_lose_power():
    planes = begun()
    leader = planes.lease_holder().name
    others = [name for name in "abc" if name != leader]
    for name in others:
        planes.set_disk(name, Disk.STALLED)
    planes.finish(planes.evacuate(leader, "z1"))
    planes.kill(*others)
    planes.wipe(leader)
    restart(planes)
    return History(planes).check()


def wiped_meets_one_that_missed_it():
    planes = begun()
    planes.isolate("c")
    planes.finish(planes.put("a", 6))
    planes.wipe("a")
    planes.kill("b")
    planes.heal()
    restart(planes, "a")
    planes.finish(planes.get("c"))
    planes.finish(planes.get("a"))
    return History(planes).check()


def proposal_number_of_a_former_incarnation():
    """A round is accepted by one alone, its proposer loses power before its own disk kept anything, and begins anew."""
    planes = begun()
    leader = planes.lease_holder().name
    alone, other = [name for name in "abc" if name != leader]
    planes.set_disk(leader, Disk.STALLED)
    planes.evacuate(leader, "z1")
    while planes.machines[leader].replica.proposer.is_idle():  # until the state of the zone is confirmed
        planes.run(0.001)
    planes.run(0.005)
    planes.partition(leader + other)
    planes.run(0.02)
    planes.kill(leader)
    planes.heal()
    planes.isolate(alone)
    restart(planes, leader)
    planes.finish(planes.evacuate(leader, "z2"))
    planes.heal()
    planes.run(SYNC)
    return History(planes).check()


def cut_off_reads():
    planes = begun()
    planes.isolate("c")
    planes.finish(planes.put("a", 6))
    planes.run(0.5)
    planes.finish(planes.get("c"))
    return History(planes).check()


def cut_off_serves():
    planes = begun()
    planes.isolate("c")
    planes.finish(planes.put("a", 6))
    planes.run(SYNC)
    return History(planes).check()


def late_change_of_members():
    planes = begun()
    leader = planes.lease_holder()
    other, third = [m for m in planes.running() if m is not leader]
    planes.add("n")
    planes.start("n")
    planes.run(1.0)
    state, spare = leader.replica.state, planes.machines["n"].replica.member
    late = ReplaceMember(state.epoch, state.term, other.replica.member, spare)
    planes.kill(third.name)
    planes.run(SYNC)
    epoch = leader.replica.state.epoch
    leader.replica.proposer.submit(planes.now, LateKey(), late)
    planes.run(1.0)
    return [] if leader.replica.state.epoch == epoch else ["a change of an earlier epoch was made"]


def bodies_are_lost():
    """Two accept a number whose bytes only the third holds; that one loses its disk."""
    planes = begun()
    leader = planes.lease_holder().name
    others = [name for name in "abc" if name != leader]
    for name in others:  # bytes are pushed and fetched in vain
        planes.machines[name].replica.bodies.add = lambda now, id, content: None
    planes.finish(planes.put(leader, 6))
    planes.wipe(leader)
    planes.kill(*others)
    restart(planes)
    answers = [planes.get(name) for name in "abc"]
    planes.run(1.0)
    return [f"{a.node} got {a.status}" for a in answers if a.status != 200] + History(planes).check()


def one_number_two_contents():
    planes = begun()
    planes.put("a", 5, "x")
    planes.put("b", 5, "y")
    planes.run(1.0)
    return History(planes).check()


def order_from_before():
    """The close of the caller, which has left long ago, is still on its way."""
    planes = begun()
    planes.suspend("a")
    planes.evacuate("a", "z1", leaves=False)
    planes.run(20.0)
    planes.finish(planes.evacuate("b", "z1"))
    planes.finish(planes.evacuate("b", "z1", False))
    planes.run(10.0)
    planes.resume("a")
    planes.run(SYNC)
    return History(planes).check()


def overtaken_order():
    """A copy of an order waits at a lease holder that is suspended, while the order and a contrary one are decided."""
    planes = begun()
    holder = planes.lease_holder().name
    other, third = [name for name in "abc" if name != holder]
    planes.finish(planes.evacuate(other, "z1"))
    planes.suspend(holder)
    planes.finish(planes.evacuate(other, "z1", False))
    planes.run(0.3)  # until nobody forwards to it any more
    planes.finish(planes.evacuate(third, "z1"))
    planes.resume(holder)
    planes.run(SYNC)
    return History(planes).check()


def second_loss_before_the_end_of_a_replacement():
    planes = begun()
    leader = planes.lease_holder()
    other, third = [m.name for m in planes.running() if m is not leader]
    planes.kill(third)
    planes.add("n")
    planes.start("n")
    while not leader.replica.state.previous:
        planes.run(0.001)
    planes.kill(other)
    planes.run(SYNC)
    answer = planes.put(leader.name, 9)
    return [] if planes.finish(answer) == 200 else [f"{leader.name} got {answer.status}"]


# What stands in place of a guard -------------------------------------------------------------------------------------


def answer_before_stored(self, outcomes):
    EXECUTE(self, outcomes)
    for outcome in outcomes:
        if isinstance(outcome, StoreVote) and self.vote is not None:
            self._execute(self.acceptor.stored(outcome.number, True))


def same_identity(areas, settings, bootstrap, disk):
    recovered = recover(areas, settings, bootstrap, disk)
    if not areas and not bootstrap:
        recovered.vote = Vote(Member(settings.ip, FOUNDING_DISK))
    return recovered


def replace_whatever_the_epoch(self, state):
    voters = {*state.voters, self.added} - {self.removed}
    fields = {"epoch": state.epoch + 1, "voters": tuple(sorted(voters)), "previous": state.voters}
    return msgspec.structs.replace(state, revision=state.revision + 1, **fields)


def evacuate_whatever_the_count(self, state):
    return SET_EVACUATION(SetEvacuation(self.zone, self.evacuated), state)


def take_any_number(self, state):
    try:
        return SET_CONFIGURATION(self, state)
    except ChangeRejectedError:
        return state


def same_incarnation(self, machine):
    return machine.name.encode()[0]


def contact_is_now(self):
    return self.context.now if self.decided is not None else None


def patch(owner, name, new):
    return lambda: mock.patch.object(owner, name, new)


# Guard: (the run, what stands in its place).
GUARDS = {
    "a vote is stored before it is answered": (
        stalled_disks_lose_power,
        patch(Voter, "_execute", answer_before_stored),
    ),
    "an empty disk is another member": (
        wiped_meets_one_that_missed_it,
        patch(control_planes, "recover", same_identity),
    ),
    "each incarnation has proposal numbers of its own": (
        proposal_number_of_a_former_incarnation,
        patch(ControlPlanes, "incarnation_of", same_incarnation),
    ),
    "a read meets a majority": (cut_off_reads, patch(Replica, "confirmed_at", property(contact_is_now))),
    "served of late": (cut_off_serves, patch(Replica, "served_state", lambda self, now: self.state)),
    "epoch and term are compared": (
        late_change_of_members,
        patch(ReplaceMember, "apply", replace_whatever_the_epoch),
    ),
    "a vote needs the bytes on the disk": (bodies_are_lost, patch(BodyCache, "is_stored", lambda self, id: True)),
    "one number, one configuration": (one_number_two_contents, patch(SetConfiguration, "apply", take_any_number)),
    "an overtaken order changes nothing": (overtaken_order, patch(SetEvacuation, "apply", evacuate_whatever_the_count)),
    "no order from before a process stood still": (
        order_from_before,
        patch(replica, "RESUME_GRACE", 0.0),
    ),
    "the former members of a decided change are not needed": (
        second_loss_before_the_end_of_a_replacement,
        patch(ControlState, "has_quorum", lambda self, members, _=0: HAS_QUORUM(self, members)),
    ),
}


class TestGuards(testtools.TestCase):
    def test_each_guard_is_needed(self):
        for name, (run, without) in GUARDS.items():
            with self.subTest(name):
                self.assertThat(run(), Equals([]), name)
                with without():
                    self.assertNotEqual(run(), [], name)
