"""Several control planes in one process, with their disks, their leases and the links between them, under faults, on a clock
of its own. Nothing sleeps. What operators were told is kept, and `History` checks it."""

import heapq
import random
from functools import partial

import attrs

from fernyard.cluster.common.messages import LeaseReply, LeaseRequest, Message
from fernyard.cluster.control_plane import commands, events
from fernyard.cluster.control_plane.learner import SERVED_WITHIN
from fernyard.cluster.control_plane.lease_manager import LeaseManager
from fernyard.cluster.control_plane.messages import StoredBody, decode, encode
from fernyard.cluster.control_plane.operator_calls import CALL_TIMEOUT, FORWARDED_WITHIN
from fernyard.cluster.control_plane.proposer import ROUND_TIMEOUT
from fernyard.cluster.control_plane.recovery import recover
from fernyard.cluster.control_plane.replica import Replica
from fernyard.cluster.control_plane.replica_context import ReplicaSettings
from fernyard.cluster.control_plane.state import ConfigurationId

TICK = 0.2
ANSWER_WITHIN = 0.85
DISK = 0.003
LINK = 0.002
OBSERVED = 0.1  # seconds between the asks of gateways
HAND_OVER = 4.0  # seconds that a machine which leaves waits at most
IN_DOUBT = (
    FORWARDED_WITHIN + CALL_TIMEOUT + ROUND_TIMEOUT
)  # seconds within which an order without a clear answer takes effect, or never


@attrs.define
class Answer:
    """What an operator was told: `status` None while nothing was."""

    what: object
    node: str
    at: float
    status: int | None = None
    body: bytes = b""
    conflicting: ConfigurationId | None = None
    ended: float = 0.0


@attrs.define
class Machine:
    """A machine with its disk: `areas` is what would survive a loss of power, as every save is synced; of `writing` a first
    part may survive as well, and what is in `erased` may come back, as a folder isn't synced after it."""

    name: str
    ip: str
    areas: dict = attrs.Factory(dict)
    replica: Replica | None = None
    lease: LeaseManager | None = None
    incarnation: int = 0
    frozen: list | None = None
    disk: str = "well"
    stalled: list = attrs.Factory(list)
    writing: list = attrs.Factory(list)
    erased: dict = attrs.Factory(dict)
    published: list = attrs.Factory(list)


class ControlPlanes:
    """`names`: of the machines of the first start; the first three are everybody's seeds. `delay`: of a link, seconds."""

    def __init__(self, names="abc", seed=1, faults=None, delay=LINK, replica=Replica, loss=0.0, doubled=0.0):
        self.now, self.random, self.kind = 0.0, random.Random(seed), replica
        self.delay, self.loss, self.doubled = delay, loss, doubled
        self.faults = faults if faults is not None else (len(names) - 1) // 2
        self.machines, self.cut, self.queue, self.number = {}, set(), [], 0
        self.answers, self.tickets, self.bytes_sent, self.served_wrong = [], {}, 0, []
        for name in names:
            self.add(name)
        self.seeds = tuple(self.machines[name].ip for name in names[:3])
        for name in names:
            self.start(name, bootstrap=True)
        self.at(0.0, self.observe)

    # Machines and faults ---------------------------------------------------------------------------------------------

    def add(self, name):
        """A machine at an address of its own, with an empty disk; not started."""
        self.machines[name] = Machine(name, f"10.0.0.{len(self.machines) + 1}")

    def start(self, name, bootstrap=False):
        machine = self.machines[name]
        machine.incarnation, machine.frozen, machine.stalled, machine.writing = (
            self.incarnation_of(machine),
            None,
            [],
            [],
        )
        settings = ReplicaSettings(name, machine.ip, True, self.seeds, self.faults)
        disk = self.random.getrandbits(48)
        recovered = recover(dict(machine.areas), settings, bootstrap and not machine.areas, disk)
        machine.replica = self.kind(self.now, settings, machine.incarnation, recovered.vote, recovered.bodies)
        machine.lease = LeaseManager(self.now, machine.replica, bootstrap, partial(self.send_from, machine))
        # Processes beat out of step.
        self.at(self.now + TICK * self.random.random(), self.tick, machine, machine.incarnation)

    def incarnation_of(self, machine):
        """A number that no other run of any process has."""
        return self.random.getrandbits(48)

    def kill(self, *names):
        for name in names:
            self.machines[name].replica = None

    def wipe(self, name):
        self.kill(name)
        self.machines[name].areas, self.machines[name].erased = {}, {}

    def lose_power(self, name):
        """What was on its way to the disk may have got there, and what was erased may be back."""
        machine = self.machines[name]
        if machine.replica is not None and machine.disk != "full":
            for command in machine.writing[: self.random.randrange(len(machine.writing) + 1)]:
                machine.areas[command.area] = command.content
            for area, content in machine.erased.items():
                if self.random.random() < 0.5:
                    machine.areas.setdefault(area, content)
        machine.erased = {}
        self.kill(name)

    def leave(self, name):
        """The machine is told to stop, hands over and is gone."""
        machine = self.machines[name]
        self.tell(machine, events.ShutdownRequested())
        self.run_until(lambda: machine.replica.may_stop(), HAND_OVER)
        self.kill(name)

    def freeze(self, name):
        self.machines[name].frozen = []

    def deafen(self, name):
        """It is heard and hears nothing."""
        self.part(*(other + name for other in self.machines if other != name))

    def mute(self, name):
        """It hears and is not heard."""
        self.part(*(name + other for other in self.machines if other != name))

    def thaw(self, name, between=None):
        """What came meanwhile is worked off at once, and gateways ask before, between and after. `between` is called then."""
        machine, waiting = self.machines[name], self.machines[name].frozen or []
        machine.frozen = None
        self.ask_served(machine)
        for call, arguments in waiting:
            call(*arguments)
            self.ask_served(machine)
            if between is not None:
                between()

    def part(self, *pairs):
        """`ab` cuts what a sends to b."""
        self.cut.update(pairs)

    def isolate(self, *names):
        """Cuts these off from all others, both ways."""
        for name in names:
            for other in self.machines:
                if other not in names:
                    self.cut.update((name + other, other + name))

    def join(self):
        self.cut.clear()

    # The clock -------------------------------------------------------------------------------------------------------

    def at(self, moment, call, *arguments):
        self.number += 1
        heapq.heappush(self.queue, (moment, self.number, call, arguments))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = end

    def run_until(self, condition, seconds):
        """Runs until the condition holds, `seconds` at most; the seconds it took, or None."""
        began = self.now
        while self.now - began < seconds:
            if condition():
                return self.now - began
            self.run(0.02)
        return None

    def tick(self, machine, incarnation):
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if machine.frozen is not None:
            machine.frozen.append((self.tick, (machine, incarnation)))
            return
        self.tell(machine, events.Tick())
        self.renew_lease(machine)
        self.at(self.now + TICK, self.tick, machine, incarnation)

    def renew_lease(self, machine):
        lease = machine.lease
        lease.renew(self.now, lease.voter.epoch)
        self.tell(machine, events.LeaseChanged(lease.holds(self.now), 0))

    # Gateways --------------------------------------------------------------------------------------------------------

    def observe(self):
        for machine in self.running():
            self.ask_served(machine)
        self.at(self.now + OBSERVED, self.observe)

    def ask_served(self, machine):
        """What a gateway is handed out lacks nothing that was confirmed before a majority had to be met."""
        state = machine.replica.served_state(self.now) if machine.replica is not None else None
        if state is None:
            return
        confirmed = max(
            (a.what[1].version for a in self.answers if a.what[0] == "put" and self._confirmed_before(a)), default=0
        )
        if state.configuration.version < confirmed:
            self.served_wrong.append(
                f"{machine.name} serves {state.configuration.version} at {self.now:.2f}: {confirmed}"
            )

    def _confirmed_before(self, answer):
        return answer.status == 200 and answer.ended < self.now - SERVED_WITHIN

    # Messages and disks ----------------------------------------------------------------------------------------------

    def tell(self, machine, event):
        if machine.replica is None:
            return
        if machine.frozen is not None:
            machine.frozen.append((self.tell, (machine, event)))
            return
        for command in machine.replica.step(self.now, event):
            self.execute(machine, command)

    def execute(self, machine, command):
        kind = type(command)
        if kind is commands.StoreArea:
            machine.writing.append(command)
            self.at(self.now + DISK, self.save, machine, machine.incarnation, command)
        elif kind is commands.EraseArea:
            if command.area in machine.areas:
                machine.erased[command.area] = machine.areas.pop(command.area)
        elif kind is commands.SendMessage:
            self.send(machine, command.ip, decode(encode(command.message)))
        elif kind is commands.PushBody:
            self.send(machine, command.ip, StoredBody(command.id, command.body))
        elif kind is commands.FetchBody:
            self.fetch(machine, command)
        elif kind is commands.CompleteCall:
            self.reply(command)
        elif kind is commands.PublishState:
            machine.published.append((self.now, machine.replica.state))

    def save(self, machine, incarnation, command):
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if machine.disk == "stalled":
            machine.stalled.append((self.save, (machine, incarnation, command)))
            return
        machine.writing = [other for other in machine.writing if other is not command]
        succeeded = machine.disk == "well"
        if succeeded:
            machine.areas[command.area] = command.content
            machine.erased.pop(command.area, None)
        self.tell(machine, events.AreaStored(command.area, succeeded))

    def disk(self, name, how):
        """`how`: well, stalled or full."""
        machine = self.machines[name]
        machine.disk = how
        if how != "stalled":
            waiting, machine.stalled = machine.stalled, []
            for call, arguments in waiting:
                call(*arguments)

    def by_ip(self, ip):
        return next((machine for machine in self.machines.values() if machine.ip == ip), None)

    def send(self, machine, ip, message):
        other = self.by_ip(ip)
        if other is None or other is machine:
            return
        if isinstance(message, Message | StoredBody) and not isinstance(message, LeaseRequest | LeaseReply):
            self.bytes_sent += len(encode(message))
        copies = 0 if self.random.random() < self.loss else 2 if self.random.random() < self.doubled else 1
        for _ in range(copies):
            delay = self.delay * (0.7 + 0.6 * self.random.random())
            self.at(self.now + delay, self.arrive, machine, other, message)

    def send_from(self, machine, message, ip):
        self.send(machine, ip, message)

    def arrive(self, machine, other, message):
        if machine.name + other.name in self.cut or other.replica is None:
            return
        if other.frozen is not None:
            other.frozen.append((self.arrive, (machine, other, message)))
            return
        if isinstance(message, StoredBody):
            self.tell(other, events.BodyReceived(message.id, message.body))
        elif isinstance(message, LeaseRequest):
            self.send(other, machine.ip, other.lease.on_request(self.now, message))
        elif isinstance(message, LeaseReply):
            other.lease.on_reply(self.now, message)
        else:
            self.tell(other, events.MessageReceived(machine.ip, message))

    def fetch(self, machine, command):
        other = self.by_ip(command.ip)
        if other is None or other.replica is None or other.frozen is not None:
            return
        if {machine.name + other.name, other.name + machine.name} & self.cut:
            return
        content = other.replica.bodies.content(command.id)
        if content:
            self.at(self.now + 2 * self.delay, self.tell, machine, events.BodyReceived(command.id, content))

    # Operators -------------------------------------------------------------------------------------------------------

    def call(self, name, what, make):
        """One call at one machine; the Answer is filled in when it comes. `make(ticket)` gives the event."""
        machine, answer = self.machines[name], Answer(what, name, self.now)
        self.answers.append(answer)
        self.number += 1
        ticket = self.number
        self.tickets[ticket] = answer
        self.tell(machine, make(ticket))
        self.at(self.now + ANSWER_WITHIN, self.expire, machine, machine.incarnation, ticket)
        return answer

    def expire(self, machine, incarnation, ticket):
        if self.tickets.get(ticket) is not None and machine.replica is not None and machine.incarnation == incarnation:
            self.tell(machine, events.CallExpired(ticket))

    def reply(self, command):
        answer = self.tickets.pop(command.ticket, None)
        if answer is not None:
            answer.status, answer.body, answer.ended = command.status, command.body, self.now
            answer.conflicting = command.conflicting

    def put(self, name, version, text=""):
        body = f"v{version}{text}".encode()
        id = ConfigurationId.of(version, body)
        return self.call(name, ("put", id, body), lambda ticket: events.ConfigurationSubmitted(ticket, id, body))

    def evacuate(self, name, zone, on=True):
        return self.call(name, ("evacuate", zone, on), lambda ticket: events.EvacuationSubmitted(ticket, zone, on))

    def get(self, name):
        return self.call(name, ("get",), events.ReadRequested)

    def finish(self, answer, seconds=1.0):
        """The status of a call once it is answered; None: none came in time."""
        self.run_until(lambda: answer.status is not None, seconds)
        return answer.status

    # What holds ------------------------------------------------------------------------------------------------------

    def running(self):
        return [m for m in self.machines.values() if m.replica is not None and m.frozen is None]

    def state(self, name):
        replica = self.machines[name].replica
        return replica.state if replica is not None else None

    def voters(self, name):
        """Names of the machines that vote, as that one knows it; a disk that is gone has a question mark."""
        found = []
        for voter in self.state(name).voters:
            machine = self.by_ip(voter.ip)
            same = machine.replica is not None and machine.replica.member == voter
            found.append(machine.name if same else machine.name + "?")
        return "".join(found)

    def settled(self):
        """Do all that run know the same decided state, its configuration on their disks and no change of members begun?"""
        running = self.running()
        states = {machine.replica.state for machine in running}
        return (
            len(states) == 1
            and None not in states
            and not next(iter(states)).previous
            and all(machine.replica.bodies.is_stored(machine.replica.state.configuration) for machine in running)
        )


class History:
    """Checks what operators were told against what was decided. `wrong` lists what does not fit."""

    def __init__(self, planes):
        self.planes, self.wrong = planes, []

    def check(self):
        decided = self._decided()
        self._one_state_a_revision(decided)
        self._never_back()
        self._orders(decided)
        self._evacuations(decided)
        self._reads()
        return self.wrong + self.planes.served_wrong

    def _decided(self):
        return [(at, m.name, state) for m in self.planes.machines.values() for at, state in m.published]

    def _one_state_a_revision(self, decided):
        known = {}
        for _, name, state in decided:
            other = known.setdefault(state.revision, state)
            if other != state:
                self.wrong.append(f"two states of revision {state.revision}, the other at {name}")
        contents = {}
        for _, _, state in decided:
            id = state.configuration
            if contents.setdefault(id.version, id) != id:
                self.wrong.append(f"two configurations under {id.version}")

    def _never_back(self):
        """Within one incarnation of one process, and by number over all decided states."""
        states = {state.revision: state for _, _, state in self._decided()}
        versions = [states[revision].configuration.version for revision in sorted(states)]
        if versions != sorted(versions):
            self.wrong.append(f"numbers went back: {versions}")

    def _orders(self, decided):
        """Whoever was confirmed finds that in force which it sent, or a later number; nobody is confirmed under a number
        that has other bytes, and no order is refused that was taken."""
        in_force = {state.configuration for _, _, state in decided}
        numbers = {id.version: id for id in in_force}
        newest = max(numbers, default=0)
        confirmed = set()
        for answer in self.planes.answers:
            if answer.what[0] != "put":
                continue
            id = answer.what[1]
            held = numbers.get(id.version)
            if answer.status == 200:
                confirmed.add(id)
                if held is not None and held != id:
                    self.wrong.append(f"confirmed under {id.version}, where other bytes are in force")
                if id.version > newest:
                    self.wrong.append(f"{id.version} was confirmed and never came into force")
            if answer.status == 409 and held == id:
                self.wrong.append(f"{id.version} was refused, although it was taken")

    def _evacuations(self, decided):
        """How each zone stands in the end is what an order asked for that no confirmed one of the other kind came after."""
        newest = max((state for _, _, state in decided), key=lambda state: state.revision, default=None)
        orders = [answer for answer in self.planes.answers if answer.what[0] == "evacuate"]
        for zone in {answer.what[1] for answer in orders if newest is not None}:
            on = zone in newest.evacuated_zones
            ends = [self._end(a) for a in orders if a.what[1:] == (zone, on)] + ([] if on else [0.0])
            after = [
                a for a in orders if a.what[1:] == (zone, not on) and a.status == 200 and a.at > max(ends, default=-1)
            ]
            if after or not ends:
                self.wrong.append(f"{zone} is {on} in the end, after {after}")

    @staticmethod
    def _end(answer):
        return answer.ended if answer.status == 200 else answer.at + IN_DOUBT

    def _reads(self):
        """A read tells nothing older than what was confirmed, or read, before it was asked for."""
        ended = [a for a in self.planes.answers if a.status == 200 and a.what[0] in ("put", "get")]
        for read in [a for a in ended if a.what[0] == "get"]:
            version = self._version(read)
            before = [self._version(a) for a in ended if a.ended < read.at]
            if before and version < max(before):
                self.wrong.append(f"read {version} at {read.node}, {max(before)} was known before")

    def _version(self, answer):
        if answer.what[0] == "put":
            return answer.what[1].version
        digits = answer.body.decode()[1:].split(" ")[0].split("-")[0]
        return int("".join(c for c in digits if c.isdigit()))
