"""Several control planes in one process, with their disks, their leases and the links between them, under faults, on a clock of
its own. Nothing sleeps. What operators were answered is kept, and `history.History` checks it. Times are seconds."""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from fernyard.cluster.common.messages import LeaseReply, LeaseRequest, Message
from fernyard.cluster.control_plane import commands, events
from fernyard.cluster.control_plane.learner import SERVED_WITHIN
from fernyard.cluster.control_plane.lease_manager import LeaseManager
from fernyard.cluster.control_plane.messages import StoredBody, decode, encode
from fernyard.cluster.control_plane.recovery import recover
from fernyard.cluster.control_plane.replica import Replica
from fernyard.cluster.control_plane.replica_context import ReplicaSettings
from fernyard.cluster.control_plane.state import ConfigurationId

from .machines import Deferred, Disk, Machine
from .operator_answers import Answer, Evacuate, Get, Put

TICK = 0.2
CALL_EXPIRES_AFTER = 0.85  # since the process read the call
CALLER_WAITS = 1.0  # then it goes on to another machine, and hears no answer
DISK_DELAY = 0.003
LINK_DELAY = 0.002
OBSERVATION_INTERVAL = 0.1  # between two reads of gateways
MAX_HANDOVER = 4.0  # that a machine which shuts down waits at most


class ControlPlanes:
    """Machines by name; see the module."""

    def __init__(
        self,
        names: str = "abc",
        seed: int = 1,
        faults: int | None = None,
        delay: float = LINK_DELAY,
        replica: type[Replica] = Replica,
        loss: float = 0.0,
        doubled: float = 0.0,
    ) -> None:
        """`names`: of the machines of the first start, one letter each; the first three are everybody's seeds. `delay` of a
        link; `loss` and `doubled`: fractions of messages."""
        self.now, self.random, self.replica_class = 0.0, random.Random(seed), replica
        self.delay, self.loss, self.doubled = delay, loss, doubled
        self.faults = faults if faults is not None else (len(names) - 1) // 2
        self.machines: dict[str, Machine] = {}
        self.partitioned: set[str] = set()  # "ab": what a sends to b is lost
        self.answers: list[Answer] = []
        self.stale_reads: list[str] = []  # what gateways were served though it was overtaken
        self.bytes_sent = 0  # between replicas
        self._tickets: dict[int, Answer] = {}
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0
        for name in names:
            self.add(name)
        self.seeds = tuple(self.machines[name].ip for name in names[:3])
        for name in names:
            self.start(name, bootstrap=True)
        self._at(0.0, self._observe)

    # Machines and faults ---------------------------------------------------------------------------------------------

    def add(self, name: str) -> None:
        """A machine at an address of its own, with an empty disk; not started."""
        self.machines[name] = Machine(name, f"10.0.0.{len(self.machines) + 1}")

    def start(self, name: str, bootstrap: bool = False) -> None:
        """Starts the process of a machine; `bootstrap`: the whole system starts for the first time."""
        machine = self.machines[name]
        machine.incarnation = self.incarnation_of(machine)
        machine.suspended, machine.stalled, machine.writing = None, [], []
        settings = ReplicaSettings(name, machine.ip, True, self.seeds, self.faults)
        disk = self.random.getrandbits(48)
        recovered = recover(dict(machine.areas), settings, bootstrap and not machine.areas, disk)
        machine.replica = self.replica_class(self.now, settings, machine.incarnation, recovered.vote, recovered.bodies)
        machine.lease = LeaseManager(self.now, machine.replica, bootstrap, partial(self._send_from, machine))
        # Processes tick out of step.
        self._at(self.now + TICK * self.random.random(), self._tick, machine, machine.incarnation)

    def incarnation_of(self, machine: Machine) -> int:
        """A number that no other run of any process has."""
        return self.random.getrandbits(48)

    def kill(self, *names: str) -> None:
        """The processes end; their disks stay as they are."""
        for name in names:
            self.machines[name].replica = None

    def wipe(self, name: str) -> None:
        """The process ends and the disk is lost."""
        self.kill(name)
        self.machines[name].areas, self.machines[name].erased = {}, {}

    def lose_power(self, name: str) -> None:
        """What was on its way to the disk may have got there, and what was erased may be back."""
        machine = self.machines[name]
        if machine.replica is not None and machine.disk is not Disk.FULL:
            for store in machine.writing[: self.random.randrange(len(machine.writing) + 1)]:
                machine.areas[store.area] = store.content
            for area, content in machine.erased.items():
                if self.random.random() < 0.5:
                    machine.areas.setdefault(area, content)
        machine.erased = {}
        self.kill(name)

    def shut_down(self, name: str) -> None:
        """The machine is told to stop, hands over and is gone."""
        machine = self.machines[name]
        self.handle(machine, events.ShutdownRequested())
        self.run_until(lambda: machine.replica.may_stop(), MAX_HANDOVER)
        self.kill(name)

    def suspend(self, name: str) -> None:
        """The process does nothing until it is resumed; what comes for it waits."""
        self.machines[name].suspended = []

    def resume(self, name: str, between: Callable[[], object] | None = None) -> None:
        """What came meanwhile is handled at once, and gateways read before, between and after. `between` is called then."""
        machine, waiting = self.machines[name], self.machines[name].suspended or []
        machine.suspended = None
        self._read_served(machine)
        for deferred in waiting:
            deferred.run()
            self._read_served(machine)
            if between is not None:
                between()

    def deafen(self, name: str) -> None:
        """It sends and receives nothing."""
        self.partition(*(other + name for other in self.machines if other != name))

    def mute(self, name: str) -> None:
        """It receives, and what it sends is lost."""
        self.partition(*(name + other for other in self.machines if other != name))

    def partition(self, *pairs: str) -> None:
        """`ab`: what a sends to b is lost."""
        self.partitioned.update(pairs)

    def isolate(self, *names: str) -> None:
        """Partitions these from all others, both ways."""
        for name in names:
            for other in self.machines:
                if other not in names:
                    self.partition(name + other, other + name)

    def heal(self) -> None:
        """Ends all partitions."""
        self.partitioned.clear()

    def set_disk(self, name: str, disk: Disk) -> None:
        """How the disk of that machine works from now on."""
        machine = self.machines[name]
        machine.disk = disk
        if disk is not Disk.STALLED:
            waiting, machine.stalled = machine.stalled, []
            for deferred in waiting:
                deferred.run()

    # The clock -------------------------------------------------------------------------------------------------------

    def _at(self, moment: float, call: Callable[..., None], *arguments: Any) -> None:
        self._number += 1
        heapq.heappush(self._queue, (moment, self._number, call, arguments))

    def run(self, seconds: float) -> None:
        """Lets that time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self.now = end

    def run_until(self, condition: Callable[[], bool], seconds: float) -> float | None:
        """Runs until the condition holds, `seconds` at most; the seconds it took, or None."""
        began = self.now
        while self.now - began < seconds:
            if condition():
                return self.now - began
            self.run(0.02)
        return None

    def _tick(self, machine: Machine, incarnation: int) -> None:
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if machine.suspended is not None:
            machine.suspended.append(Deferred(self._tick, (machine, incarnation)))
            return
        self.handle(machine, events.Tick())
        machine.lease.renew(self.now, machine.lease.voter.epoch)
        self.handle(machine, events.LeaseChanged(machine.lease.holds(self.now), 0))
        self._at(self.now + TICK, self._tick, machine, incarnation)

    # Gateways --------------------------------------------------------------------------------------------------------

    def _observe(self) -> None:
        for machine in self.running():
            self._read_served(machine)
        self._at(self.now + OBSERVATION_INTERVAL, self._observe)

    def _read_served(self, machine: Machine) -> None:
        """What a gateway is served lacks nothing that was acknowledged before a majority had to be in touch."""
        state = machine.replica.served_state(self.now) if machine.replica is not None else None
        if state is None:
            return
        acknowledged = [
            answer.call.id.version
            for answer in self.answers
            if isinstance(answer.call, Put) and answer.status == 200 and answer.answered_at < self.now - SERVED_WITHIN
        ]
        newest, version = max(acknowledged, default=0), state.configuration.version
        if version < newest:
            self.stale_reads.append(f"{machine.name} serves {version} at {self.now:.2f}: {newest}")

    # Events, messages and disks --------------------------------------------------------------------------------------

    def handle(self, machine: Machine, event: events.Event) -> None:
        """One step of the machine's replica, now or once its process is resumed."""
        if machine.replica is None:
            return
        if machine.suspended is not None:
            machine.suspended.append(Deferred(self.handle, (machine, event)))
            return
        for command in machine.replica.step(self.now, event):
            self._execute(machine, command)

    def _execute(self, machine: Machine, command: commands.Command) -> None:
        match command:
            case commands.StoreArea():
                machine.writing.append(command)
                self._at(self.now + DISK_DELAY, self._store, machine, machine.incarnation, command)
            case commands.EraseArea():
                if command.area in machine.areas:
                    machine.erased[command.area] = machine.areas.pop(command.area)
            case commands.SendMessage():
                self._send(machine, command.ip, decode(encode(command.message)))
            case commands.PushBody():
                self._send(machine, command.ip, StoredBody(command.id, command.body))
            case commands.FetchBody():
                self._fetch(machine, command)
            case commands.CompleteCall():
                self._complete(command)
            case commands.PublishState():
                machine.published.append((self.now, machine.replica.state))

    def _store(self, machine: Machine, incarnation: int, command: commands.StoreArea) -> None:
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if machine.disk is Disk.STALLED:
            machine.stalled.append(Deferred(self._store, (machine, incarnation, command)))
            return
        machine.writing = [other for other in machine.writing if other is not command]
        succeeded = machine.disk is Disk.WORKING
        if succeeded:
            machine.areas[command.area] = command.content
            machine.erased.pop(command.area, None)
        self.handle(machine, events.AreaStored(command.area, succeeded))

    def by_ip(self, ip: str) -> Machine | None:
        """The machine at that address."""
        return next((machine for machine in self.machines.values() if machine.ip == ip), None)

    def _send_from(self, machine: Machine, message: Message, ip: str) -> None:
        self._send(machine, ip, message)

    def _send(self, machine: Machine, ip: str, message: Message | StoredBody) -> None:
        other = self.by_ip(ip)
        if other is None or other is machine:
            return
        if not isinstance(message, LeaseRequest | LeaseReply):
            self.bytes_sent += len(encode(message))
        copies = 0 if self.random.random() < self.loss else 2 if self.random.random() < self.doubled else 1
        for _ in range(copies):
            delay = self.delay * (0.7 + 0.6 * self.random.random())
            self._at(self.now + delay, self._arrive, machine, other, message)

    def _arrive(self, machine: Machine, other: Machine, message: Any) -> None:
        if machine.name + other.name in self.partitioned or other.replica is None:
            return
        if other.suspended is not None:
            other.suspended.append(Deferred(self._arrive, (machine, other, message)))
            return
        match message:
            case StoredBody():
                self.handle(other, events.BodyReceived(message.id, message.body))
            case LeaseRequest():
                self._send(other, machine.ip, other.lease.on_request(self.now, message))
            case LeaseReply():
                other.lease.on_reply(self.now, message)
            case _:
                self.handle(other, events.MessageReceived(machine.ip, message))

    def _fetch(self, machine: Machine, command: commands.FetchBody) -> None:
        other = self.by_ip(command.ip)
        if other is None or not other.is_running():
            return
        if {machine.name + other.name, other.name + machine.name} & self.partitioned:
            return
        content = other.replica.bodies.content(command.id)
        if content:
            event = events.BodyReceived(command.id, content)
            self._at(self.now + 2 * self.delay, self.handle, machine, event)

    # Operators -------------------------------------------------------------------------------------------------------

    def _call(
        self, name: str, call: Put | Evacuate | Get, make_event: Callable[[int], events.Event], leaves: bool = True
    ) -> Answer:
        """One call at one machine; the answer is filled in when it comes. `make_event(ticket)` gives the event; `leaves`: the
        machine sees that a caller which waited in vain has closed its connection."""
        machine, answer = self.machines[name], Answer(call, name, self.now)
        self.answers.append(answer)
        self._number += 1
        ticket = self._number
        self._tickets[ticket] = answer
        self._take_call(machine, make_event(ticket), ticket)
        if leaves:
            self._at(self.now + CALLER_WAITS, self._expire, machine, machine.incarnation, ticket)
        return answer

    def _take_call(self, machine: Machine, event: events.Event, ticket: int) -> None:
        """The process reads a call, now or once it is resumed; its time begins then."""
        if machine.suspended is not None:
            machine.suspended.append(Deferred(self._take_call, (machine, event, ticket)))
            return
        self.handle(machine, event)
        self._at(self.now + CALL_EXPIRES_AFTER, self._expire, machine, machine.incarnation, ticket)

    def _expire(self, machine: Machine, incarnation: int, ticket: int) -> None:
        is_same = machine.replica is not None and machine.incarnation == incarnation
        if self._tickets.get(ticket) is not None and is_same:
            self.handle(machine, events.CallExpired(ticket))

    def _complete(self, command: commands.CompleteCall) -> None:
        answer = self._tickets.pop(command.ticket, None)
        if answer is not None and self.now - answer.called_at <= CALLER_WAITS:
            answer.status, answer.body, answer.answered_at = command.status, command.body, self.now
            answer.conflicting = command.conflicting

    def put(self, name: str, version: int, text: str = "") -> Answer:
        """Sends a configuration; `text` makes its bytes differ from others of that version."""
        body = f"v{version}{text}".encode()
        id = ConfigurationId.of(version, body)
        return self._call(name, Put(id), lambda ticket: events.ConfigurationSubmitted(ticket, id, body))

    def evacuate(self, name: str, zone: str, evacuated: bool = True, leaves: bool = True, age: float = 0.0) -> Answer:
        """Evacuates a zone, or takes it back; `leaves` as in `_call`, `age` as in `EvacuationSubmitted`."""
        call = Evacuate(zone, evacuated)
        return self._call(name, call, lambda ticket: events.EvacuationSubmitted(ticket, zone, evacuated, age), leaves)

    def get(self, name: str) -> Answer:
        """Reads the configuration in force."""
        return self._call(name, Get(), events.ReadRequested)

    def finish(self, answer: Answer, seconds: float = 1.0) -> int | None:
        """The status of a call once it is answered; None: no answer came in time."""
        self.run_until(lambda: answer.status is not None, seconds)
        return answer.status

    # What is known ---------------------------------------------------------------------------------------------------

    def running(self) -> list[Machine]:
        """Machines whose processes are up and not suspended."""
        return [machine for machine in self.machines.values() if machine.is_running()]

    def lease_holder(self) -> Machine:
        """The machine that holds the lease, of those that run."""
        return next(machine for machine in self.running() if machine.replica.lease_held)

    def state(self, name: str) -> Any:
        """The state that a machine knows to be decided, or None."""
        replica = self.machines[name].replica
        return replica.state if replica is not None else None

    def voters(self, name: str) -> str:
        """Names of the machines that vote, as that one knows it; a disk that is gone has a question mark."""
        found = []
        for voter in self.state(name).voters:
            machine = self.by_ip(voter.ip)
            assert machine is not None
            is_same = machine.replica is not None and machine.replica.member == voter
            found.append(machine.name if is_same else machine.name + "?")
        return "".join(found)

    def event_count(self) -> int:
        """How many events were scheduled so far."""
        return self._number

    def is_settled(self) -> bool:
        """Do all that run know the same decided state, its configuration on their disks and no change of members begun?"""
        running = self.running()
        states = {machine.replica.state for machine in running}
        if len(states) != 1 or None in states:
            return False
        state = next(iter(states))
        all_stored = all(machine.replica.bodies.is_stored(state.configuration) for machine in running)
        return not state.previous and all_stored
