"""The calls of operators that wait at one replica, and the changes that other replicas forward to it. Free of I/O; times are
seconds.

A change goes to the lease holder, where there is one, so that proposals don't collide; if that doesn't get it decided, it is
proposed here as well. So there may be several copies of a change, of which the first to be decided counts: a configuration bears
its version, and an evacuation the count of the zone's changes, which a majority confirmed after the order came.

An evacuation that was held up on its way may come after its caller has given it up and a later order was acknowledged elsewhere.
So its zone is read while its caller can't have given it up yet, by the age that its connection proves; where that is too long
ago, the caller is asked to send it again (307), which one that is there does at once.
"""

import attrs

from .bodies import BodyCache
from .commands import CompleteCall, PushBody, ReportEvacuation
from .events import CallExpired, ConfigurationSubmitted, EvacuationSubmitted, ReadRequested
from .leadership import Leadership
from .learner import Learner
from .messages import ForwardedChange, ForwardedChangeResult
from .peer_table import PeerTable
from .proposer import CHANGE_TIMEOUT, ChangeKey, Outcome, Proposer
from .replica_context import ReplicaContext
from .state import AnyChange, ConfigurationId, SetConfiguration, SetEvacuation, VersionConflictError

FORWARD_TIMEOUT = 0.5  # until a forwarded change is proposed here as well
FORWARDED_WITHIN = 2.0  # a change that was forwarded to us longer ago is not proposed any more
# From the moment at which an evacuation came until the one as of which its zone is read. Bytes that were held up on the way arrive
# with the close of a caller that has given up, or one round trip before it.
EVACUATION_DELAY = 0.1
CALL_TIMEOUT = 1.0  # that a caller waits at most: an older call is not begun any more
# That may have passed since an evacuation was sent: what is left of CALL_TIMEOUT is for confirming its zone.
MAX_ORDER_AGE = 0.5
SEND_AGAIN = 307  # to the same address


class CallKey(ChangeKey, frozen=True):
    """Names the change of a call at this replica."""

    ticket: int


class ForwardedKey(ChangeKey, frozen=True):
    """Names a change that the replica at `ip` forwarded; `key` is its own."""

    ip: str
    incarnation: int
    key: int


@attrs.define
class Call:
    """An operator's call that waits.

    `order`: of an evacuation; `change`: None for a read, and for an evacuation until the state of its zone is confirmed;
    `proposed`: here, not only at the lease holder.
    """

    since: float
    order: EvacuationSubmitted | None = None
    change: SetConfiguration | SetEvacuation | None = None
    requested_at: float = 0.0
    proposed: bool = False

    @property
    def confirmed_from(self) -> float:
        """The moment as of which, or later, a majority has to confirm the state."""
        return self.since + (EVACUATION_DELAY if self.order is not None else 0.0)


class OperatorCalls:
    """Calls that wait, by ticket."""

    def __init__(
        self,
        context: ReplicaContext,
        proposer: Proposer,
        learner: Learner,
        leadership: Leadership,
        peers: PeerTable,
        bodies: BodyCache,
    ) -> None:
        self.context, self.proposer, self.learner = context, proposer, learner
        self.leadership, self.peers, self.bodies = leadership, peers, bodies
        self.pending: dict[int, Call] = {}

    # Calls begin and end ---------------------------------------------------------------------------------------------

    def submit_configuration(self, event: ConfigurationSubmitted) -> None:
        """Offers the bytes to all that store them, and has the change decided."""
        context = self.context
        self.bodies.add(context.now, event.id, event.body)
        for ip in self._storing_ips():
            context.execute(PushBody(ip, event.id, event.body))
        call = self.pending[event.ticket] = Call(context.now)
        self._begin(event.ticket, call, SetConfiguration(event.id))

    def _storing_ips(self) -> list[str]:
        """Where other voters are, and replicas that may have to vote soon: these keep up while changes never pause."""
        state = self.learner.state
        ips = {member.ip for member in state.electorate} if state is not None else set()
        ips.update(peer.member.ip for peer in self.peers.fresh(self.context.now) if peer.heartbeat.votes)
        return sorted(ips - {self.context.settings.ip})

    def submit_evacuation(self, event: EvacuationSubmitted, was_suspended: bool) -> None:
        """Has an evacuation decided, once the state of its zone is confirmed, unless the caller has left by then: it may have
        given its order elsewhere, and a later one too.

        One that came while the process was suspended may have been followed by a later one elsewhere, and gets no clear
        answer. Configurations have versions and need no such care.
        """
        if was_suspended:
            self.context.execute(CompleteCall(event.ticket, 503))
            return
        if event.age > MAX_ORDER_AGE:
            self.context.execute(CompleteCall(event.ticket, SEND_AGAIN))
            return
        self.pending[event.ticket] = Call(self.context.now, order=event)

    def read(self, event: ReadRequested) -> None:
        """A read waits until a majority confirms that nothing newer is decided."""
        self.pending[event.ticket] = Call(self.context.now)

    def expire(self, event: CallExpired) -> None:
        """The caller waits no longer."""
        if self.pending.pop(event.ticket, None) is not None:
            self.context.execute(CompleteCall(event.ticket, 503))

    def confirmed(self, ticket: int, call: Call) -> None:
        """A majority confirmed, after the call came, that nothing newer is decided than what is known here."""
        if call.order is None:
            self._complete_read(ticket)
        else:
            self._begin_evacuation(ticket, call, call.order)

    def _begin_evacuation(self, ticket: int, call: Call, order: EvacuationSubmitted) -> None:
        if self.context.now - call.since + order.age >= CALL_TIMEOUT:
            self._complete(ticket, 503)  # its caller may have given it up before its zone was confirmed
            return
        state = self.learner.state
        assert state is not None, "a majority confirmed it"
        last = state.evacuation(order.zone)
        if last.evacuated == order.evacuated:
            self._complete(ticket, 200)
            return
        self._begin(ticket, call, SetEvacuation(order.zone, order.evacuated, last.count))

    def _complete(self, ticket: int, status: int, conflicting: ConfigurationId | None = None) -> None:
        """Answers a call that still waits. `conflicting`: with 409, what is stored under its version."""
        if self.pending.pop(ticket, None) is not None:
            self.context.execute(CompleteCall(ticket, status, conflicting=conflicting))

    def lease_holder(self) -> str | None:
        """The ip of another replica that holds the lease; None: there is none, or it is held here."""
        return None if self.leadership.is_leader() else self.peers.lease_holder(self.context.now)

    def _begin(self, ticket: int, call: Call, change: SetConfiguration | SetEvacuation) -> None:
        context = self.context
        call.change = change
        holder = self.lease_holder()
        if holder is None:
            self._propose_call(ticket, call, change)
            return
        heartbeat = self.peers.peers[holder].heartbeat
        forwarded = ForwardedChange(ticket, context.incarnation, change, heartbeat.incarnation, heartbeat.sequence)
        context.send(holder, forwarded)

    def _propose_call(self, ticket: int, call: Call, change: AnyChange) -> None:
        call.proposed = True
        self._propose(CallKey(ticket), change)

    def _propose(self, key: ChangeKey, change: AnyChange) -> None:
        """An evacuation is not begun once its caller waits no longer, and may send the contrary order."""
        timeout = CALL_TIMEOUT if isinstance(change, SetEvacuation) else CHANGE_TIMEOUT
        self.proposer.submit(self.context.now, key, change, timeout)

    # Forwarded changes -----------------------------------------------------------------------------------------------

    def on_forwarded(self, ip: str, message: ForwardedChange) -> None:
        """Another replica forwards a change to us, as the lease holder. An old one is dropped, so that a change without a clear
        answer is decided soon or never."""
        context = self.context
        if self.peers.sent_within(
            context.now, FORWARDED_WITHIN, message.acknowledged_incarnation, message.acknowledged
        ):
            self._propose(ForwardedKey(ip, message.incarnation, message.key), message.change)

    def on_forwarded_result(self, message: ForwardedChangeResult) -> None:
        """The lease holder tells what became of a change that we forwarded."""
        if message.incarnation == self.context.incarnation:
            status = 200 if message.conflicting is None else 409
            self._complete(message.key, status, message.conflicting)

    def on_outcome(self, outcome: Outcome, revision: int) -> None:
        """A change that was proposed here is decided or rejected. `revision`: of the decided state."""
        self._report(outcome, revision)
        rejection = outcome.rejection
        conflicting = rejection.conflicting if isinstance(rejection, VersionConflictError) else None
        is_outdated = rejection is not None and conflicting is None
        match outcome.key:
            case CallKey(ticket):
                # An order that a contrary one followed while it was under way gets no clear answer.
                status = 503 if is_outdated else 200 if conflicting is None else 409
                self._complete(ticket, status, conflicting)
            case ForwardedKey(ip, incarnation, key):
                if not is_outdated:  # else the replica that was asked finds the later order in the state
                    self.context.send(ip, ForwardedChangeResult(key, incarnation, conflicting))

    def _report(self, outcome: Outcome, revision: int) -> None:
        change, key = outcome.change, outcome.key
        if not isinstance(change, SetEvacuation):
            return
        asked = key.ip if isinstance(key, ForwardedKey) else self.context.settings.ip
        is_rejected = outcome.rejection is not None
        self.context.execute(ReportEvacuation(change.zone, change.evacuated, revision, asked, is_rejected))

    # What waits ------------------------------------------------------------------------------------------------------

    def has_slow_confirmation(self, patience: float) -> bool:
        """Has a call waited longer than that for a majority to confirm the state?"""
        now = self.context.now
        return any(call.change is None and now - call.since > patience for call in self.pending.values())

    def follow_up(self, ticket: int, call: Call) -> None:
        """Completes a change that was decided elsewhere; proposes one that the lease holder did not get decided."""
        change, waited = call.change, self.context.now - call.since
        if change is None:
            return
        status = self._status_elsewhere(change)
        if status is not None:
            self._complete(ticket, status)
        elif not call.proposed and FORWARD_TIMEOUT <= waited < CALL_TIMEOUT:
            self._propose_call(ticket, call, change)

    def _status_elsewhere(self, change: SetConfiguration | SetEvacuation) -> int | None:
        """The status of a call whose change was decided elsewhere, or of an evacuation that a contrary order followed; None: it
        is still open."""
        if isinstance(change, SetConfiguration):
            return 200 if self.learner.was_decided(change.id) else None
        state = self.learner.state
        last = state.evacuation(change.zone) if state is not None else None
        if last is None or last.count == change.count:
            return None
        return 200 if last.evacuated == change.evacuated else 503

    def _complete_read(self, ticket: int) -> None:
        """Answers a read with the configuration in force, unless its bytes are still on the way."""
        if not self.learner.is_published():
            return
        del self.pending[ticket]
        state = self.learner.state
        body = self.bodies.content(state.configuration) if state is not None else None
        self.context.execute(CompleteCall(ticket, 200, body) if body else CompleteCall(ticket, 404))

    def referenced_configurations(self) -> set[ConfigurationId]:
        """Configurations that a call here or a pending change may still put into force."""
        changes = [
            *(call.change for call in self.pending.values()),
            *(pending.change for pending in self.proposer.pending),
        ]
        return {change.id for change in changes if isinstance(change, SetConfiguration)}
