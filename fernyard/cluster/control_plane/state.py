"""The control state: the one small value that the control planes agree on, and the changes that it may undergo.

It names the configuration in force by version and digest (its bytes are stored beside it), the evacuated zones, the members
that vote, and the term of the lease holder. A majority decides it under proposal numbers, without a log: each decided state
replaces the one before it (docs/control-state.md). Free of I/O.
"""

from collections.abc import Collection
from hashlib import sha256
from typing import Any, Self

import msgspec

FOUNDING_DISK = 1  # the identity of a disk that was there at the first start of the whole system
MAX_RECENT_CONFIGURATIONS = 16  # earlier configurations whose digests are remembered


class Value(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Base: an immutable value, an array on the wire and on disk; compared field by field."""


class ConfigurationId(Value, frozen=True):
    """The version of a configuration and the digest of its bytes."""

    version: int = 0
    digest: int = 0

    @classmethod
    def of(cls, version: int, body: bytes) -> Self:
        """The id of a configuration; `body`: its bytes as the operator sent them."""
        return cls(version, int.from_bytes(sha256(body).digest()[:8], "big") >> 1)

    def fits(self, body: bytes) -> bool:
        """Do these bytes have this digest?"""
        return self == ConfigurationId.of(self.version, body)

    def __str__(self) -> str:
        return f"{self.version:08x}-{self.digest:016x}"


NO_CONFIGURATION = ConfigurationId()


class ProposalNumber(Value, frozen=True):
    """Orders proposals. `proposer`: the incarnation of the proposing process, which no other run of any process has."""

    round: int = 0
    proposer: int = 0


class Member(Value, frozen=True):
    """A machine and the disk that it began with: one that comes back with an empty disk is another member."""

    ip: str
    disk: int

    def __str__(self) -> str:
        return f"{self.ip}/{self.disk:x}"


class ZoneEvacuation(Value, frozen=True):
    """Whether a zone is `evacuated`, as of the last of `count` changes to it."""

    zone: str
    count: int
    evacuated: bool


class ControlState(Value, frozen=True):
    """The decided value.

    `revision` counts the decided changes. `epoch` counts changes of the members; while `previous` is not empty, one is under
    way and needs a majority of both groups. `term` counts lease holders that acted for all; `claim` is the number under which
    the last one began its term. `recent`: configurations before this one, newest first.
    """

    revision: int = 0
    configuration: ConfigurationId = NO_CONFIGURATION
    recent: tuple[ConfigurationId, ...] = ()
    evacuations: tuple[ZoneEvacuation, ...] = ()
    epoch: int = 1
    voters: tuple[Member, ...] = ()
    previous: tuple[Member, ...] = ()
    term: int = 0
    claim: int = 0

    @property
    def evacuated_zones(self) -> list[str]:
        """Names of the zones that receive no traffic."""
        return [evacuation.zone for evacuation in self.evacuations if evacuation.evacuated]

    def evacuation(self, zone: str) -> ZoneEvacuation:
        """The last change to a zone; its count is 0 where there was none."""
        unchanged = ZoneEvacuation(zone, 0, False)
        return next((evacuation for evacuation in self.evacuations if evacuation.zone == zone), unchanged)

    @property
    def electorate(self) -> tuple[Member, ...]:
        """All whose votes count, in a stable order."""
        return tuple(sorted({*self.voters, *self.previous}))

    def has_quorum(self, members: Collection[Member], decided_epoch: int = 0) -> bool:
        """Is a majority of each group that has to agree among `members`?

        `decided_epoch`: a change of members known to be decided. The former members of that one need not agree any more:
        whoever does not know of it asks a majority of them, learns of it, and then needs the voters as well; and all that
        follows it needs a majority of the voters.
        """
        finished = self.epoch <= decided_epoch
        groups = [group for group in (self.voters, () if finished else self.previous) if group]
        return bool(groups) and all(len(set(group) & set(members)) * 2 > len(group) for group in groups)


def founding_state(ips: Collection[str]) -> ControlState:
    """What all processes of a first start know without asking: the seeds vote, and nothing is in force."""
    return ControlState(voters=tuple(Member(ip, FOUNDING_DISK) for ip in sorted(set(ips))))


class ChangeRejectedError(Exception):
    """A change does not fit the state to which it was applied."""


class VersionConflictError(ChangeRejectedError):
    """Other bytes are stored under that version. `conflicting`: their id."""

    def __init__(self, conflicting: ConfigurationId) -> None:
        super().__init__(f"other bytes are stored under version {conflicting.version:08x}")
        self.conflicting = conflicting


class OutdatedChangeError(ChangeRejectedError):
    """The change was made for an epoch, a term or a state of a zone that has passed."""


class Change(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of changes. The tags are part of the wire format."""

    def apply(self, state: ControlState) -> ControlState:
        """The state that follows, the same object where nothing changes. Idempotent.

        Raises ChangeRejectedError where the change does not fit the state.
        """
        raise NotImplementedError


class SetConfiguration(Change, tag="SetConfiguration", frozen=True):
    """Puts a valid configuration of an operator into force, unless a higher version is."""

    id: ConfigurationId

    def apply(self, state: ControlState) -> ControlState:
        """A higher version replaces the current one; the same version has to be the same bytes."""
        current = state.configuration
        if current == NO_CONFIGURATION:
            return _changed(state, configuration=self.id)
        if self.id.version > current.version:
            recent = (current, *state.recent)[:MAX_RECENT_CONFIGURATIONS]
            return _changed(state, configuration=self.id, recent=recent)
        for known in (current, *state.recent):
            if known.version == self.id.version and known != self.id:
                raise VersionConflictError(known)
        return state


class SetEvacuation(Change, tag="SetEvacuation", frozen=True):
    """Evacuates a zone, or takes it back into service, in place of the last of `count` changes to it.

    An order has no version of its own, and copies of it may arrive late; `count` is read after the order came, so that no copy
    applies once a later order is decided. None: the copy comes from a build that did not compare it.
    """

    zone: str
    evacuated: bool
    count: int | None = None

    def apply(self, state: ControlState) -> ControlState:
        """Nothing changes where the zone is so already. Raises OutdatedChangeError where the zone was changed since."""
        last = state.evacuation(self.zone)
        if last.evacuated == self.evacuated:
            return state
        if self.count is not None and self.count != last.count:
            raise OutdatedChangeError(f"{self.zone} was changed since")
        others = [evacuation for evacuation in state.evacuations if evacuation.zone != self.zone]
        following = ZoneEvacuation(self.zone, last.count + 1, self.evacuated)
        return _changed(state, evacuations=tuple(sorted([*others, following])))


class BeginTerm(Change, tag="BeginTerm", frozen=True):
    """Gives the lease holder a term of its own. `highest_term`: the highest that any received message bears."""

    claim: int
    highest_term: int

    def apply(self, state: ControlState) -> ControlState:
        """The term is above every one that was seen."""
        if state.claim == self.claim:
            return state
        return _changed(state, term=max(state.term, self.highest_term) + 1, claim=self.claim)


class ReplaceMember(Change, tag="ReplaceMember", frozen=True):
    """`added` votes in place of `removed` (None: one more votes), under the epoch and term in which it was proposed."""

    epoch: int
    term: int
    removed: Member | None
    added: Member

    def apply(self, state: ControlState) -> ControlState:
        """Both groups vote until the replacement is finished."""
        if (state.epoch, state.term) != (self.epoch, self.term) or state.previous:
            raise OutdatedChangeError("the members or the term have changed")
        if self.added in state.voters or (self.removed is not None and self.removed not in state.voters):
            raise OutdatedChangeError("the members are others")
        voters = {voter for voter in state.voters if voter != self.removed} | {self.added}
        return _changed(state, epoch=state.epoch + 1, voters=tuple(sorted(voters)), previous=state.voters)


class FinishReplacement(Change, tag="FinishReplacement", frozen=True):
    """The change of members that began `epoch` is decided: the former members count no more.

    Only a replica that knows it to be decided may propose this.
    """

    epoch: int

    def apply(self, state: ControlState) -> ControlState:
        """Nothing changes where that replacement is finished already."""
        if state.epoch != self.epoch or not state.previous:
            return state
        return _changed(state, previous=())


class Confirm(Change, tag="Confirm", frozen=True):
    """Changes nothing; once it is decided, a majority is known to have the current state."""

    def apply(self, state: ControlState) -> ControlState:
        """The state itself."""
        return state


AnyChange = SetConfiguration | SetEvacuation | BeginTerm | ReplaceMember | FinishReplacement | Confirm


def _changed(state: ControlState, **fields: Any) -> ControlState:
    return msgspec.structs.replace(state, revision=state.revision + 1, **fields)


class Vote(Value, frozen=True):
    """What the disk of one replica holds: who it is, the highest number it promised, and what it accepted last."""

    member: Member
    promised: ProposalNumber | None = None
    accepted: ProposalNumber | None = None
    state: ControlState | None = None

    def promising(self, proposal_number: ProposalNumber) -> "Vote":
        """The vote after a promise."""
        return Vote(self.member, proposal_number, self.accepted, self.state)

    def accepting(self, proposal_number: ProposalNumber, state: ControlState) -> "Vote":
        """The vote after `state` is accepted."""
        return Vote(self.member, proposal_number, proposal_number, state)
