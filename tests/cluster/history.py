"""Checks what operators were answered against what was decided, after a run of `control_planes.ControlPlanes`."""

from typing import NamedTuple

from fernyard.cluster.control_plane.operator_calls import CALL_TIMEOUT, FORWARDED_WITHIN
from fernyard.cluster.control_plane.proposer import ROUND_TIMEOUT
from fernyard.cluster.control_plane.state import ConfigurationId, ControlState

from .control_planes import ControlPlanes
from .operator_answers import Answer, Evacuate, Get, Put

# Seconds within which a change without a clear answer comes into force, or never.
IN_DOUBT = FORWARDED_WITHIN + CALL_TIMEOUT + ROUND_TIMEOUT


class Published(NamedTuple):
    """A machine published a state."""

    at: float
    node: str
    state: ControlState


class History:
    """`check` lists what does not hold."""

    def __init__(self, planes: ControlPlanes) -> None:
        self.planes = planes
        self.violations: list[str] = []
        self.published = [
            Published(at, machine.name, state)
            for machine in planes.machines.values()
            for at, state in machine.published
        ]

    def check(self) -> list[str]:
        """What does not hold, a sentence each."""
        self._check_one_state_a_revision()
        self._check_never_back()
        self._check_configurations()
        self._check_evacuations()
        self._check_reads()
        return self.violations + self.planes.stale_reads

    def _check_one_state_a_revision(self) -> None:
        by_revision: dict[int, ControlState] = {}
        by_version: dict[int, ConfigurationId] = {}
        for _, node, state in self.published:
            if by_revision.setdefault(state.revision, state) != state:
                self.violations.append(f"two states of revision {state.revision}, the other at {node}")
        for _, _, state in self.published:
            id = state.configuration
            if by_version.setdefault(id.version, id) != id:
                self.violations.append(f"two configurations under {id.version}")

    def _check_never_back(self) -> None:
        """By revision over all decided states."""
        states = {state.revision: state for _, _, state in self.published}
        versions = [states[revision].configuration.version for revision in sorted(states)]
        if versions != sorted(versions):
            self.violations.append(f"versions went back: {versions}")

    def _check_configurations(self) -> None:
        """Whoever was acknowledged finds in force what it sent, or a later version; nobody is acknowledged under a version that
        has other bytes, and none is refused that was taken."""
        by_version = {state.configuration.version: state.configuration for _, _, state in self.published}
        newest = max(by_version, default=0)
        for answer in self.planes.answers:
            if not isinstance(answer.call, Put):
                continue
            id = answer.call.id
            in_force = by_version.get(id.version)
            if answer.status == 200:
                if in_force is not None and in_force != id:
                    self.violations.append(f"acknowledged under {id.version}, where other bytes are in force")
                if id.version > newest:
                    self.violations.append(f"{id.version} was acknowledged and never came into force")
            if answer.status == 409 and in_force == id:
                self.violations.append(f"{id.version} was refused, although it was taken")

    def _check_evacuations(self) -> None:
        """How each zone is in the end is what a call asked for that no acknowledged one of the other kind came after."""
        newest = max((state for _, _, state in self.published), key=lambda state: state.revision, default=None)
        if newest is None:
            return
        calls = [(answer, answer.call) for answer in self.planes.answers if isinstance(answer.call, Evacuate)]
        for zone in {call.zone for _, call in calls}:
            evacuated = zone in newest.evacuated_zones
            ends = [_end(answer) for answer, call in calls if call == Evacuate(zone, evacuated)]
            ends += [] if evacuated else [0.0]
            after = [
                answer
                for answer, call in calls
                if call == Evacuate(zone, not evacuated)
                and answer.status == 200
                and answer.called_at > max(ends, default=-1)
            ]
            if after or not ends:
                self.violations.append(f"{zone} is {evacuated} in the end, after {after}")

    def _check_reads(self) -> None:
        """A read shows nothing older than what was acknowledged, or read, before it was asked for."""
        succeeded = [
            answer for answer in self.planes.answers if answer.status == 200 and isinstance(answer.call, Put | Get)
        ]
        for read in [answer for answer in succeeded if isinstance(answer.call, Get)]:
            version = _version(read)
            before = [_version(answer) for answer in succeeded if answer.answered_at < read.called_at]
            if before and version < max(before):
                self.violations.append(f"read {version} at {read.node}, {max(before)} was known before")


def _end(answer: Answer) -> float:
    """When what was asked for had come into force, or never does."""
    return answer.answered_at if answer.status == 200 else answer.called_at + IN_DOUBT


def _version(answer: Answer) -> int:
    if isinstance(answer.call, Put):
        return answer.call.id.version
    text = answer.body.decode()[1:].split(" ")[0].split("-")[0]
    return int("".join(character for character in text if character.isdigit()))
