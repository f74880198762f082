"""The control state: the one small value that the control planes agree on, and the changes that it may undergo.

It names the configuration in force by number and digest (the bytes are kept beside it), the evacuated zones, the members
that vote, and the term of the one that acts for all. It is decided by majority and ballots, without a log: each decided
state replaces the one before it (docs/control-state.md). Free of I/O.
"""

from hashlib import sha256

import msgspec

FOUNDING_DISK = 1  # the identity of a disk that was there at the first start of the whole system
REMEMBERED_NUMBERS = 16  # numbers of earlier configurations whose digests are kept


class Value(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Base: an immutable value, an array on the wire and on disk; compared field by field."""


class ConfigurationId(Value):
    """The number of a configuration and the digest of its bytes."""

    version: int = 0
    digest: int = 0

    @classmethod
    def of(cls, version, body):
        """`body`: the bytes as the operator sent them."""
        return cls(version, int.from_bytes(sha256(body).digest()[:8], "big") >> 1)

    def fits(self, body):
        return self == ConfigurationId.of(self.version, body)

    def __str__(self):
        return f"{self.version:08x}-{self.digest:016x}"


NO_CONFIGURATION = ConfigurationId()


class ProposalNumber(Value):
    """`proposer`: the incarnation of the process that proposes, which no other run of any process has."""

    round: int = 0
    proposer: int = 0


class Member(Value):
    """A machine and the disk that it began with: one that comes back with an empty disk is another member."""

    ip: str
    disk: int

    def __str__(self):
        return f"{self.ip}/{self.disk:x}"


class ZoneOrder(Value):
    """The last of `count` orders about a zone: nothing is to go to its workers while `on`."""

    zone: str
    count: int
    on: bool


class ControlState(Value):
    """`revision` counts the decided changes. `epoch` counts changes of the members; while `previous` is not empty, one is
    under way and a majority of both groups is asked. `term` counts those that acted for all; `claim` is the number under
    which the last one claimed it. `recent`: numbers before this configuration's, newest first."""

    revision: int = 0
    configuration: ConfigurationId = NO_CONFIGURATION
    recent: tuple[ConfigurationId, ...] = ()
    evacuations: tuple[ZoneOrder, ...] = ()
    epoch: int = 1
    voters: tuple[Member, ...] = ()
    previous: tuple[Member, ...] = ()
    term: int = 0
    claim: int = 0

    @property
    def evacuated(self):
        """Names of the zones that nothing is to go to."""
        return [order.zone for order in self.evacuations if order.on]

    @property
    def electorate(self):
        """All whose votes count, in a stable order."""
        return tuple(sorted({*self.voters, *self.previous}))

    def has_quorum(self, members, decided_epoch=0):
        """Is a majority of each group that has to agree among `members`? `decided_epoch`: a change of members known to be
        decided. The former members of that one need not agree any more: whoever does not know of it asks a majority of
        them, hears of it, and then needs the voters as well; and all that follows it needs a majority of the voters."""
        finished = self.epoch <= decided_epoch
        groups = [group for group in (self.voters, () if finished else self.previous) if group]
        return bool(groups) and all(len(set(group) & set(members)) * 2 > len(group) for group in groups)


def founding_state(ips):
    """What all processes of a first start know without asking: the seeds vote, and nothing is in force."""
    return ControlState(voters=tuple(Member(ip, FOUNDING_DISK) for ip in sorted(set(ips))))


class ChangeRejectedError(Exception):
    """A change does not fit the state that it met."""


class VersionConflictError(ChangeRejectedError):
    """Other bytes are held under that number. `held`: which."""

    def __init__(self, held):
        super().__init__(f"other bytes are held under number {held.version:08x}")
        self.held = held


class OutdatedChangeError(ChangeRejectedError):
    """Proposed under an epoch or a term that has passed."""


class Change(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of changes. `apply` returns the state that follows, the same object where nothing is to change, or raises
    `ChangeRejectedError`. It may be applied again to a state that holds it already, and then changes nothing."""

    def apply(self, state):
        raise NotImplementedError


class SetConfiguration(Change):
    """A valid configuration came from an operator."""

    id: ConfigurationId

    def apply(self, state):
        held = state.configuration
        if held == NO_CONFIGURATION:
            return _changed(state, configuration=self.id)
        if self.id.version > held.version:
            return _changed(state, configuration=self.id, recent=(held, *state.recent)[:REMEMBERED_NUMBERS])
        for known in (held, *state.recent):
            if known.version == self.id.version and known != self.id:
                raise VersionConflictError(known)
        return state


class SetEvacuation(Change):
    """An operator empties a zone, or takes it back."""

    zone: str
    on: bool

    def apply(self, state):
        if (self.zone in state.evacuated) == self.on:
            return state
        last = next((order for order in state.evacuations if order.zone == self.zone), None)
        others = [order for order in state.evacuations if order is not last]
        order = ZoneOrder(self.zone, last.count + 1 if last else 1, self.on)
        return _changed(state, evacuations=tuple(sorted([*others, order])))


class BeginTerm(Change):
    """The holder of the lease is about to act for all. `above`: the highest term that anybody was heard to have seen."""

    claim: int
    above: int

    def apply(self, state):
        if state.claim == self.claim:
            return state
        return _changed(state, term=max(state.term, self.above) + 1, claim=self.claim)


class ReplaceMember(Change):
    """`joining` votes in place of `leaving` (None: one more votes), under the epoch and term that it was decided in."""

    epoch: int
    term: int
    leaving: Member | None
    joining: Member

    def apply(self, state):
        if (state.epoch, state.term) != (self.epoch, self.term) or state.previous:
            raise OutdatedChangeError("the members or the term have changed")
        if self.joining in state.voters or self.leaving is not None and self.leaving not in state.voters:
            raise OutdatedChangeError("the members are others")
        voters = {voter for voter in state.voters if voter != self.leaving} | {self.joining}
        return _changed(state, epoch=state.epoch + 1, voters=tuple(sorted(voters)), previous=state.voters)


class FinishReplacement(Change):
    """The change of members that began `epoch` is decided: the former members count no more. Only one that knows it to be
    decided may propose this."""

    epoch: int

    def apply(self, state):
        if state.epoch != self.epoch or not state.previous:
            return state
        return _changed(state, previous=())


class Confirm(Change):
    """Nothing changes; once it is decided, what stands is known to a majority."""

    def apply(self, state):
        return state


AnyChange = SetConfiguration | SetEvacuation | BeginTerm | ReplaceMember | FinishReplacement | Confirm


def _changed(state, **fields):
    return msgspec.structs.replace(state, revision=state.revision + 1, **fields)


class Vote(Value):
    """What the disk of one replica holds: who it is, the highest ballot it promised, and what it accepted last."""

    member: Member
    promised: ProposalNumber | None = None
    accepted: ProposalNumber | None = None
    state: ControlState | None = None

    def promising(self, ballot):
        return Vote(self.member, ballot, self.accepted, self.state)

    def accepting(self, ballot, state):
        return Vote(self.member, ballot, ballot, state)
