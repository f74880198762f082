"""The part of a replica that acts for all while its process holds the lease: it begins a term and replaces members.

Free of I/O; times are seconds. No promise of the control state rests on the lease: it only keeps proposals from colliding.
"""

from random import Random
from typing import NamedTuple

from ..common.lease import LEASE_DURATION, SAFETY_MARGIN
from . import membership
from .peer_table import PeerTable
from .proposer import ChangeKey
from .replica_context import ReplicaContext
from .state import AnyChange, BeginTerm, ControlState, FinishReplacement

LEASE_BELIEVED_FOR = LEASE_DURATION - SAFETY_MARGIN  # after the process reported that it holds the lease
CLAIM_BITS = 48


class TermKey(ChangeKey, frozen=True):
    """Names the change that begins a term."""

    claim: int


class MembershipKey(ChangeKey, frozen=True):
    """Names a change of the members; one is pending at a time."""


class DueChange(NamedTuple):
    """A change that this replica has to propose."""

    key: ChangeKey
    change: AnyChange


class Leadership:
    """Whether the lease is held here, and what is to be proposed because of it."""

    def __init__(self, context: ReplicaContext, peers: PeerTable, random: Random) -> None:
        self.context, self.peers, self.random = context, peers, random
        self.lease_held = False
        self.reported_at = self.since = context.now
        self.claim = 0
        self.highest_term = 0

    def is_leader(self) -> bool:
        """Is the lease held here, as was reported of late? A process that was suspended holds it no more."""
        return self.lease_held and self.context.now - self.reported_at < LEASE_BELIEVED_FOR

    def term(self, state: ControlState | None) -> int | None:
        """The term under which this process acts for all, or None."""
        if not self.is_leader() or state is None or state.claim != self.claim:
            return None
        return state.term

    def on_lease_changed(self, held: bool, highest_term: int) -> None:
        """The process reports whether it holds the lease."""
        if held and not self.lease_held:
            self.claim, self.since = self.random.getrandbits(CLAIM_BITS) | 1, self.context.now
        self.lease_held, self.reported_at, self.highest_term = held, self.context.now, highest_term

    def due_change(self, state: ControlState | None, caught_up_from: int, draining: bool) -> DueChange | None:
        """What the lease holder has to propose now: its term, or a change of the members. `caught_up_from`: see
        `MembershipView`."""
        if not self.lease_held or state is None:
            return None
        if state.claim != self.claim:
            return DueChange(TermKey(self.claim), BeginTerm(self.claim, self.highest_term))
        context = self.context
        view = membership.MembershipView(
            now=context.now,
            peers=self.peers,
            own=context.member,
            state=state,
            faults=context.settings.faults,
            since=self.since,
            caught_up_from=caught_up_from,
            draining=draining,
        )
        change = membership.due_change(view)
        return DueChange(MembershipKey(), change) if change is not None else None

    def due_finish(self, state: ControlState | None) -> DueChange | None:
        """The end of a replacement. It is due at once, as until then a majority of the former members is needed as well."""
        if state is None or not state.previous or self.term(state) is None:
            return None
        return DueChange(MembershipKey(), FinishReplacement(state.epoch))
