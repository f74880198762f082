"""Gateways that report to the control planes of the simulation, through kills, lost disks and replacements that overlap. Times are
seconds."""

import random
from collections.abc import Sequence

import attrs

from fernyard.cluster.control_plane.state import NO_CONFIGURATION
from fernyard.cluster.data_plane.control_plane_directory import ControlPlaneDirectory

from .control_planes import LINK_DELAY, ControlPlanes
from .machines import Machine
from .schedules import SYNC

HEARTBEAT_INTERVAL = 0.3
RECOVERY, APPLY = 15.0, 4.0  # recoveryS, applyS
SPARES = "mnopqrstuvwxyz"


@attrs.define(eq=False)
class ReportingGateway:
    """`revision`: the newest that a control plane in touch with a majority told; `is_cut`: nothing reaches it."""

    name: str
    directory: ControlPlaneDirectory
    revision: int = 0
    is_cut: bool = False


class Fleet:
    """Control planes, and gateways that report to them."""

    def __init__(self, seed: int, directory: type[ControlPlaneDirectory] = ControlPlaneDirectory) -> None:
        self.random = random.Random(seed)
        self.names = list(self.random.choice(("abc", "abc", "abcde")))
        self.planes = ControlPlanes("".join(self.names), seed, loss=self.random.choice((0.0, 0.03)))
        self.spares, self.version = list(SPARES), 1
        self.gateways = [
            ReportingGateway(name, directory(0.0, name, self.planes.seeds, random.Random(name)))
            for name in ("g1", "g2", "g3")
        ]
        for gateway in self.gateways:
            self.planes._at(HEARTBEAT_INTERVAL * self.random.random(), self._report, gateway)
        self.planes.run(SYNC)
        self.planes.finish(self.planes.put("a", self.version))
        self.planes.run(1.0)

    # Heartbeats ------------------------------------------------------------------------------------------------------

    def _report(self, gateway: ReportingGateway) -> None:
        planes = self.planes
        planes._at(planes.now + HEARTBEAT_INTERVAL, self._report, gateway)
        for ip in gateway.directory.recipients(planes.now):
            planes._at(planes.now + LINK_DELAY, self._arrive, gateway, ip)

    def _arrive(self, gateway: ReportingGateway, ip: str) -> None:
        machine = self.planes.by_ip(ip)
        if machine is None or not machine.is_running() or gateway.is_cut:
            return
        self.planes._at(self.planes.now + LINK_DELAY, self._reply, gateway, machine, *self._content(machine))

    def _content(self, machine: Machine) -> tuple[int, Sequence[str]]:
        """(revision, 0 where no majority was in touch; addresses of control planes)."""
        state = machine.replica.served_state(self.planes.now)
        is_served = state is not None and state.configuration != NO_CONFIGURATION
        return state.revision if is_served else 0, machine.replica.known_ips()

    def _reply(self, gateway: ReportingGateway, machine: Machine, revision: int, ips: Sequence[str]) -> None:
        if not gateway.is_cut:
            gateway.directory.replied(self.planes.now, machine.ip, ips, revision > 0)
            gateway.revision = max(gateway.revision, revision)

    # Faults ----------------------------------------------------------------------------------------------------------

    def replace(self, name: str, pause: float) -> None:
        """A machine is gone for good; an empty one starts so much later at another address."""
        self.planes.kill(name)
        self.planes.run(pause)
        new = self.spares.pop(0)
        self.planes.add(new)
        # Its settings file names control planes that are in the operator's list now.
        self.planes.seeds = tuple(self.planes.machines[other].ip for other in self.names if other != name)[:3]
        self.planes.start(new)
        self.names[self.names.index(name)] = new

    def kill_all_and_lose_the_first(self) -> None:
        """All processes are killed; the one that is back first is lost for good, before or after the others return."""
        draw, planes = self.random, self.planes
        for name in self.names:
            planes.kill(name)
        order = draw.sample(self.names, len(self.names))
        planes.start(order[0])
        planes.run(draw.choice((0.1, 0.4, 0.8)))
        returns_first = draw.random() < 0.5
        if returns_first:
            self._start_all(order[1:])
            planes.run(draw.choice((0.0, 0.1, 0.5)))
        planes.kill(order[0])
        if not returns_first:
            planes.run(draw.choice((0.1, 0.5)))
            self._start_all(order[1:])
        planes.run(draw.choice((0.1, 1.0)))
        self.replace(order[0], 1.0)

    def _start_all(self, names: Sequence[str]) -> None:
        for name in names:
            self.planes.run(0.3 * self.random.random())
            self.planes.start(name)

    def replace_all_while_a_gateway_is_cut_off(self) -> None:
        """One after the other. The settings file names others afterwards, and is read again at some time."""
        gateway = self.random.choice(self.gateways)
        gateway.is_cut = True
        for name in list(self.names):
            self.planes.run(SYNC)
            self.replace(name, self.random.choice((0.0, 1.0)))
        self.planes.run(SYNC)
        gateway.is_cut = False
        self.planes.run(self.random.choice((0.0, 2.0)))
        for known in self.gateways:
            known.directory.add_seeds([self.planes.machines[name].ip for name in self.names[:3]])

    # A run -----------------------------------------------------------------------------------------------------------

    def play(self) -> list[str]:
        """Two troubles, and a configuration after them: what does not hold, a sentence each."""
        for trouble in self.random.sample(
            (self.kill_all_and_lose_the_first, self.replace_all_while_a_gateway_is_cut_off) * 2, 2
        ):
            trouble()
            self.planes.run(self.random.choice((SYNC, 2 * SYNC)))
        self.planes.run(RECOVERY)
        self.version += 1
        answer = self.planes.put(self.names[0], self.version)
        status = self.planes.finish(answer, 3.0)
        if status != 200:
            return [f"the configuration got {status}"]
        self.planes.run(APPLY)
        newest = self.planes.state(self.names[0]).revision
        return [
            f"{gateway.name} has revision {gateway.revision} of {newest} and knows {gateway.directory.confirmed}"
            for gateway in self.gateways
            if gateway.revision < newest or gateway.directory.is_lost(self.planes.now)
        ]
