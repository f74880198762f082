"""One replica of the control state. `Replica.step(now, event)` returns the orders to carry out. Free of I/O.

It votes (`accord.ballots.Acceptor`), proposes the changes of its callers or has the holder of the lease carry them
(`Proposer`), learns what is decided, and knows how long ago it met a majority (`PeerTable`). docs/control-state.md says what
holds and why.
"""

from collections import deque
from random import Random

import attrs
import msgspec

from ...accord.acceptor import Acceptor, Granted, Refused, Request, StoreVote
from ..common.lease import LENGTH, MARGIN
from . import events, membership
from .bodies import BodyCache
from .legacy import LEGACY_AREAS
from .messages import (
    Accept,
    Accepted,
    Decision,
    ForwardedChange,
    ForwardedChangeResult,
    MessageReceived,
    Prepare,
    Promise,
    Refusal,
    ReplicaHeartbeat,
)
from .peer_table import PeerTable
from .proposer import PATIENCE, Decided, Proposer
from .state import (
    NO_CONFIGURATION,
    BeginTerm,
    ConfigurationId,
    Confirm,
    ControlState,
    FinishReplacement,
    Member,
    SetConfiguration,
    SetEvacuation,
    VersionConflictError,
)

VOTE = "vote"  # the area of the disk that holds our Vote
SERVED_WITHIN = 1.0  # seconds since a majority was met, within which what is decided is handed out
SETTLE_AFTER, SETTLE_STEP = 0.3, 0.15  # seconds until an unfinished decision is finished; more for each rank
CARRIER_WITHIN = 0.7  # seconds since the heartbeat of the holder of the lease
CARRY_WAIT = 0.5  # seconds until a change that another carries is proposed here as well
CARRIED_WITHIN = 2.0  # seconds; a change that was given to us longer ago is not carried any more
CALLED_WITHIN = 1.0  # seconds that a caller waits at most: an older order is not begun any more
LEASE_TOLD_WITHIN = LENGTH - MARGIN  # seconds for which holding the lease is believed after it was told
STOOD_STILL, AWAKE = 1.0, 0.3  # seconds without a step, and until all that came meanwhile has been worked off
ASK_AGAIN = 0.1  # seconds until an urgent heartbeat is sent again
MOST_SEEDS = 12
CONFIRMATION = ("confirm",)  # the key of a change that only finishes what others began
VOTE_AGAIN = 0.3  # after the disk refused the first vote


@attrs.frozen
class ReplicaSettings:
    """`votes`: this machine counts and has a disk; `seeds`: ips; `faults`: machines that may be lost at once."""

    node: str
    ip: str
    votes: bool
    seeds: tuple
    faults: int


@attrs.define
class Call:
    """An operator's call that waits. `change` is None for a read."""

    since: float
    change: object = None
    asked_at: float = 0.0
    proposed: bool = False


@attrs.define
class DecidedState:
    """A decided state: `as_of` is when it was seen to be the newest."""

    ballot: object
    state: ControlState
    as_of: float


class Replica:
    def __init__(self, now, settings, incarnation, vote, bodies):
        """`incarnation`: a number that no other run of any process has; `vote`: the Vote to begin with, from the disk or made for a
        first start (None: this machine keeps nothing); `bodies`: {ConfigurationId: bytes} of the disk."""
        self.settings, self.incarnation, self.now, self.began = settings, incarnation, now, now
        self.stepped_at, self.woke_at = now, now - AWAKE
        self.random = Random(incarnation)
        self.first_vote, self.first_vote_at = vote, now
        self.member = vote.member if vote is not None else Member(settings.ip, 0)
        self.acceptor, self.vote_number, self.parked = Acceptor(None, grants_again=True), None, None
        self.proposer = Proposer(incarnation, self.random)
        self.contacts = PeerTable(incarnation)
        self.bodies = BodyCache(now, bodies, settings.votes)
        self.decided, self.published, self.unsettled_at = None, None, None
        self.calls, self.orders, self.local = {}, [], deque()
        self.registry_version = (0, 0)
        self.lease_told_at = now
        self.lease_held, self.above, self.claim, self.carrying_since, self.leaving = False, 0, 0, now, False
        if vote is not None:
            if vote.state is not None and vote.accepted.round == 0:
                # A state of an earlier version: the area that held its bytes is erased once the vote is stored.
                self.bodies.save_again(vote.state.configuration)
            self.proposer.heard_of(vote.promised)
            self.proposer.heard_of(vote.accepted)

    # What is asked of it ---------------------------------------------------------------------------------------------

    def step(self, now, event):
        if now - self.stepped_at > STOOD_STILL:
            self.woke_at = now
        self.now, self.stepped_at, self.orders = now, now, []
        self.proposer.expire(now)
        HANDLERS[type(event)](self, event)
        self._follow_up()
        return self.orders

    @property
    def vote(self):
        """Our vote as it is on disk, or None."""
        return self.acceptor.vote

    @property
    def state(self):
        """The newest state known to be decided, or None."""
        return self.decided.state if self.decided is not None else None

    @property
    def is_voter(self):
        return self.decided is not None and self.member in self.decided.state.voters

    @property
    def confirmed_at(self):
        """As of when a majority held nothing newer than what is decided here, or None."""
        if self.decided is None:
            return None
        met = self.contacts.confirmed_at(self.now, self.vote, self.decided.ballot, self.decided.state)
        return max(self.decided.as_of, met) if met is not None else self.decided.as_of

    def contact_age(self, now):
        """Seconds since a majority was met, or None."""
        self.now = now
        at = self.confirmed_at
        return now - at if at is not None else None

    def served(self, now):
        """The state that gateways may be given now: the newest decided, while a majority was met of late; else None."""
        age = self.contact_age(now)
        if age is None or age > SERVED_WITHIN or self.published != self.decided.ballot:
            return None
        return self.decided.state

    @property
    def leads(self):
        """Is the lease held here, as was told of late? Whoever stood still holds it no more."""
        return self.lease_held and self.now - self.lease_told_at < LEASE_TOLD_WITHIN

    def term(self):
        """The term under which this process acts for all, or None."""
        if not self.leads or self.state is None or self.state.claim != self.claim:
            return None
        return self.state.term

    def known_ips(self):
        """Where the replicas are that vote or were heard of late, ours included."""
        found = {peer.member.ip for peer in self.contacts.known(self.now)}
        if self.decided is not None:
            found.update(member.ip for member in self.decided.state.electorate)
        return sorted(found | {self.settings.ip})

    def ips(self):
        """Where other replicas are or may be: the seeds as well, while hardly any other is heard."""
        found = set(self.known_ips())
        if self.decided is None or len(self.contacts.fresh(self.now)) < 2:
            found.update(self.settings.seeds)
        return sorted(found - {self.settings.ip})

    def may_ask_lease(self):
        """Does nobody else that was heard of late hold the lease? Votes taken from its holder would only be split."""
        return self.carrier() is None

    def members_heard(self):
        """When each other member that has a vote was last heard, of those that ever were."""
        if self.state is None:
            return []
        members = {member.ip for member in self.state.voters}
        return [peer.at for peer in self.contacts.peers.values() if peer.member.ip in members]

    def add_seeds(self, ips):
        """More places where other replicas may be met."""
        seeds = tuple(dict.fromkeys((*ips, *self.settings.seeds)))
        self.settings = attrs.evolve(self.settings, seeds=seeds[:MOST_SEEDS])

    def may_stop(self):
        """Is all handed over, or nobody there to take it?"""
        if self.state is None or self.member not in self.state.electorate:
            return True
        if self.state.previous:
            return False  # a majority of those that vote no more is still needed
        waiting = [
            peer for peer in self.contacts.fresh(self.now) if peer.heartbeat.votes and not peer.heartbeat.leaving
        ]
        return all(peer.member in self.state.voters for peer in waiting)

    # Calls -----------------------------------------------------------------------------------------------------------

    def _put(self, event):
        self.bodies.add(self.now, event.id, event.body)
        if self.decided is not None:
            for member in self.decided.state.electorate:
                if member.ip != self.settings.ip:
                    self.orders.append(events.PushBody(member.ip, event.id, event.body))
        self._call(event.ticket, SetConfiguration(event.id))

    def _evacuate(self, event):
        """One that came while the process stood still may have been followed by a later one elsewhere: no clear answer.
        Configurations have numbers and need no such care."""
        if self.now - self.woke_at < AWAKE:
            self.orders.append(events.CompleteCall(event.ticket, 503))
            return
        self._call(event.ticket, SetEvacuation(event.zone, event.on))

    def _call(self, ticket, change):
        call = self.calls[ticket] = Call(self.now, change)
        carrier = self.carrier()
        if carrier is None:
            self._propose_call(ticket, call)
        else:
            heartbeat = self.contacts.peers[carrier].heartbeat
            self._send(carrier, ForwardedChange(ticket, self.incarnation, change, heartbeat.incarnation, heartbeat.ask))

    def _propose_call(self, ticket, call):
        call.proposed = True
        self._submit(("own", ticket), call.change)

    def _submit(self, key, change):
        """An evacuation that is taken late might undo a later one; a configuration has a number and can't."""
        patience = CALLED_WITHIN if isinstance(change, SetEvacuation) else PATIENCE
        self.proposer.submit(self.now, key, change, patience)

    def carrier(self):
        """The ip of another that holds the lease, whom changes are given to so that proposals don't meet; None: none."""
        if self.leads:
            return None
        carriers = [peer for peer in self.contacts.peers.values() if peer.heartbeat.carries]
        return next((peer.member.ip for peer in carriers if self.now - peer.at <= CARRIER_WITHIN), None)

    def _read(self, event):
        self.calls[event.ticket] = Call(self.now)

    def _expired(self, event):
        if self.calls.pop(event.ticket, None) is not None:
            self.orders.append(events.CompleteCall(event.ticket, 503))

    def _carry(self, ip, message):
        if not self.contacts.is_answer_within(
            self.now, CARRIED_WITHIN, message.acknowledged_incarnation, message.answers
        ):
            return
        key = ("carried", ip, message.incarnation, message.key)
        self._submit(key, message.change)

    def _carried(self, ip, message):
        if message.incarnation == self.incarnation:
            self._answer(message.key, VersionConflictError(message.taken) if message.taken is not None else None)

    def _answer(self, ticket, rejection):
        """The order of that call is decided, or something else is held under its number."""
        if self.calls.pop(ticket, None) is None:
            return
        if rejection is None:
            self.orders.append(events.CompleteCall(ticket, 200))
        else:
            self.orders.append(events.CompleteCall(ticket, 409, taken=rejection.held))

    # Voting ----------------------------------------------------------------------------------------------------------

    def _prepare(self, ip, message):
        self.proposer.heard_of(message.ballot)
        self._heard_proposal(ip)
        self._carry_out(self.acceptor.handle(Request(ip, message.ballot)))

    def _accept(self, ip, message):
        """A vote for a state is given only with its configuration on our disk, so that a majority keeps what is decided."""
        self.proposer.heard_of(message.ballot)
        self._heard_proposal(ip)
        if self.bodies.is_stored(message.state.configuration):
            self._carry_out(self.acceptor.handle(Request(ip, message.ballot, True, message.state)))
        elif self.parked is None or self.parked[1].ballot <= message.ballot:
            self.parked = ip, message

    def _heard_proposal(self, ip):
        """Another is about to have something decided, which finishes what is unfinished: no need to do so here."""
        if ip != self.settings.ip:
            self.unsettled_at = self.now

    def _carry_out(self, outcomes):
        for outcome in outcomes:
            if isinstance(outcome, StoreVote):
                self.vote_number = outcome.number
                self.orders.append(events.StoreArea(VOTE, msgspec.msgpack.encode(outcome.vote)))
            elif isinstance(outcome, Granted):
                self._send(outcome.request.sender, self._granted(outcome))
            elif isinstance(outcome, Refused):
                self._send(outcome.request.sender, Refusal(outcome.request.ballot, outcome.promised))

    def _granted(self, outcome):
        request, before = outcome.request, outcome.before
        if request.accept:
            return Accepted(self.member, request.ballot)
        return Promise(self.member, request.ballot, before.accepted, before.state)

    def _stored(self, event):
        if event.area == VOTE:
            first = self.vote is None
            self._carry_out(self.acceptor.stored(self.vote_number, event.kept))
            if first and event.kept:
                self.orders.extend(events.EraseArea(area) for area in LEGACY_AREAS)
            elif first:
                self.first_vote_at = self.now + VOTE_AGAIN
        else:
            self.bodies.saved(self.now, event.area, event.kept)

    def _store_first_vote(self):
        """Nothing is voted before it is on disk who we are."""
        first = self.first_vote
        if first is None or self.vote is not None or self.acceptor.storing is not None or self.now < self.first_vote_at:
            return
        # One that was lost since is fetched as any other: nobody might hold it any more.
        id = first.state.configuration if first.state is not None else NO_CONFIGURATION
        if self.bodies.is_stored(id) or self.bodies.content(id) is None:
            self._carry_out([self.acceptor.store(first)])

    # Deciding and learning -------------------------------------------------------------------------------------------

    def _promise(self, ip, message):
        self._send_to_members(self.proposer.promised(message))

    def _accepted(self, ip, message):
        decided = self.proposer.accepted(message)
        if isinstance(decided, Decided):
            self._learn(decided.ballot, decided.state, decided.at)
            for other in self.ips():
                self._send(other, Decision(decided.ballot, decided.state))
            for outcome in decided.outcomes:
                self._tell_outcome(outcome)

    def _tell_outcome(self, outcome):
        kind, *rest = outcome.key
        taken = outcome.rejection if isinstance(outcome.rejection, VersionConflictError) else None
        if kind == "own":
            self._answer(rest[0], taken)
        elif kind == "carried":
            ip, incarnation, key = rest
            self._send(ip, ForwardedChangeResult(key, incarnation, taken.held if taken is not None else None))

    def _refused(self, ip, message):
        self.proposer.refused(self.now, message)
        self.proposer.withdraw(CONFIRMATION)

    def _decision(self, ip, message):
        self._learn(message.ballot, message.state, None)

    def _learn(self, ballot, state, as_of):
        """`as_of`: the moment from which a majority was asked, None where it is only told."""
        known = self.decided
        if known is None or ballot > known.ballot:
            self.decided = DecidedState(ballot, state, as_of if as_of is not None else self.began - SERVED_WITHIN)
            self.proposer.heard_of(ballot)
            self.proposer.decided_epoch = state.epoch
        elif ballot == known.ballot and as_of is not None:
            known.as_of = max(known.as_of, as_of)

    def _heartbeat(self, ip, heartbeat):
        if heartbeat.member.ip == self.settings.ip or not self.contacts.heard(self.now, heartbeat):
            return
        self.proposer.heard_of(heartbeat.accepted)
        if self.decided is not None and (heartbeat.decided is None or heartbeat.decided < self.decided.ballot):
            self._send(ip, Decision(self.decided.ballot, self.decided.state))
        if heartbeat.urgent:
            self._send(ip, self._heartbeat_to(ip))

    def _learn_from_disks(self):
        """What a majority is known to have accepted under one ballot is decided, whoever proposed it."""
        vote = self.vote
        if vote is None or vote.accepted is None or self.decided is not None and vote.accepted <= self.decided.ballot:
            return
        if vote.state.has_quorum(self.contacts.accepted_by(vote.accepted, vote), self.proposer.decided_epoch):
            self._learn(vote.accepted, vote.state, None)

    def _settle(self):
        """A decision that was begun and whose proposer is gone is finished."""
        if not self._is_unsettled():
            self.unsettled_at = None
            return
        if self.unsettled_at is None:
            self.unsettled_at = self.now
        hurry = any(call.change is None and self.now - call.since > ASK_AGAIN for call in self.calls.values())
        patience = ASK_AGAIN if hurry else SETTLE_AFTER
        if self.now - self.unsettled_at >= patience + SETTLE_STEP * self._rank():
            self.unsettled_at = self.now
            self.proposer.submit(self.now, CONFIRMATION, Confirm())

    def _is_unsettled(self):
        known = self._newest_known()
        if known is None:
            return False
        decided = self.decided.ballot if self.decided is not None else None
        accepted = [peer.heartbeat.accepted for peer in self.contacts.fresh(self.now)]
        if self.vote is not None:
            accepted.append(self.vote.accepted)
        return any(ballot is not None and (decided is None or ballot > decided) for ballot in accepted)

    def _rank(self):
        """Our place among those that vote, the holder of the lease first, so that not all propose at once."""
        known = self._newest_known()
        electorate = known[1].electorate
        if self.leads:
            return 0
        # One that does not vote comes last: several such, all at once, met each other's proposals for seconds.
        return 1 + (electorate.index(self.member) if self.member in electorate else len(electorate))

    def _newest_known(self):
        """(ballot, state) of the newest state known here, decided or only accepted by us; None: none."""
        found = []
        if self.decided is not None:
            found.append((self.decided.ballot, self.decided.state))
        if self.vote is not None and self.vote.accepted is not None:
            found.append((self.vote.accepted, self.vote.state))
        return max(found, key=lambda known: known[0], default=None)

    # Acting for all --------------------------------------------------------------------------------------------------

    def _lease(self, event):
        if event.held and not self.lease_held:
            self.claim, self.carrying_since = self.random.getrandbits(48) | 1, self.now
        self.lease_held, self.lease_told_at, self.above = event.held, self.now, event.above
        if not event.held or self.state is None:
            return
        if self.state.claim != self.claim:
            self.proposer.submit(self.now, ("term", self.claim), BeginTerm(self.claim, self.above))
        else:
            change = membership.due_change(
                self.now,
                self.contacts,
                self.member,
                self.state,
                self.settings.faults,
                self.carrying_since,
                self.leaving,
            )
            if change is not None:
                self.proposer.submit(self.now, ("member",), change)

    def _finish_replacement(self):
        """At once, as until then a majority of those that vote no more is needed as well."""
        if self.term() is not None and self.state.previous:
            self.proposer.submit(self.now, ("member",), FinishReplacement(self.state.epoch))

    def _leave(self, _):
        self.leaving = True
        self._send_heartbeats()

    # Heartbeats ------------------------------------------------------------------------------------------------------

    def _tick(self, _):
        self.contacts.forget(self.now)
        self._send_heartbeats()

    def _send_heartbeats(self, urgent=False):
        self.contacts.next_ask(self.now)
        for ip in self.ips():
            self._send(ip, self._heartbeat_to(ip, urgent))

    def _heartbeat_to(self, ip, urgent=False):
        peer = self.contacts.peers.get(ip)
        vote, decided = self.vote, self.decided
        return ReplicaHeartbeat(
            node=self.settings.node,
            member=self.member,
            incarnation=self.incarnation,
            ask=self.contacts.ask,
            acknowledged_incarnation=peer.heartbeat.incarnation if peer is not None else 0,
            answers=peer.heartbeat.ask if peer is not None else 0,
            accepted=vote.accepted if vote is not None else None,
            decided=decided.ballot if decided is not None else None,
            revision=decided.state.revision if decided is not None else 0,
            ready=decided is not None and self.bodies.is_stored(decided.state.configuration),
            votes=vote is not None,
            leaving=self.leaving,
            carries=self.leads,
            registry=self.registry_version,
            urgent=urgent,
        )

    # What follows from each event ------------------------------------------------------------------------------------

    def _follow_up(self):
        self._store_first_vote()
        self._run_local()
        self._learn_from_disks()
        self._settle()
        self._finish_replacement()
        self._send_to_members(self.proposer.due(self.now, self._newest_known()))
        self._run_local()
        self._keep_bodies()
        self._publish()
        self._answer_calls()

    def _run_local(self):
        """Messages to ourselves."""
        while self.local:
            message = self.local.popleft()
            MESSAGES[type(message)](self, self.settings.ip, message)

    def _send(self, ip, message):
        if ip == self.settings.ip:
            self.local.append(message)
        else:
            self.orders.append(events.SendMessage(ip, message))

    def _send_to_members(self, sends):
        for members, message in sends:
            for ip in dict.fromkeys(member.ip for member in members):
                self._send(ip, message)

    def _received(self, event):
        MESSAGES[type(event.message)](self, event.ip, event.message)

    def _body(self, event):
        self.bodies.add(self.now, event.id, event.body)

    def _keep_bodies(self):
        for area, content in self.bodies.saves(self.now):
            self.orders.append(events.StoreArea(area, content))
        wanted = []
        if self.parked is not None:
            ip, message = self.parked
            wanted.append((message.state.configuration, [ip, *self.ips()]))
            if self.bodies.is_stored(message.state.configuration):
                self.parked = None
                self._accept(ip, message)
                self._run_local()
        if self.decided is not None:
            holders = [peer.member.ip for peer in self.contacts.fresh(self.now) if peer.heartbeat.ready]
            wanted.append((self.decided.state.configuration, holders or self.ips()))
        for id, ips in wanted:
            ip = self.bodies.fetch(self.now, id, [other for other in ips if other != self.settings.ip])
            if ip is not None:
                self.orders.append(events.FetchBody(ip, id))
        for area in self.bodies.clear(self.now, self._named()):
            self.orders.append(events.EraseArea(area))

    def _named(self):
        """Configurations that something here may still need."""
        named: set[ConfigurationId] = set()
        states = [self.state, self.vote.state if self.vote is not None else None]
        states += [self.first_vote.state if self.first_vote is not None and self.vote is None else None]
        states += [self.parked[1].state if self.parked is not None else None]
        states += self.acceptor.values()
        named.update(state.configuration for state in states if state is not None)
        changes = [call.change for call in self.calls.values()] + [p.change for p in self.proposer.pending]
        named.update(change.id for change in changes if isinstance(change, SetConfiguration))
        return named

    def _publish(self):
        decided = self.decided
        if decided is None or self.published == decided.ballot:
            return
        if self.bodies.content(decided.state.configuration) is not None:
            self.published = decided.ballot
            self.orders.append(events.PublishState())

    def _answer_calls(self):
        for ticket, call in list(self.calls.items()):
            if call.change is None:
                self._answer_read(ticket, call)
            elif isinstance(call.change, SetConfiguration) and self._is_decided(call.change.id):
                self._answer(ticket, None)
            elif not call.proposed and CARRY_WAIT <= self.now - call.since < CALLED_WITHIN:
                self._propose_call(ticket, call)

    def _is_decided(self, id):
        """Was that configuration decided, be it the newest or not?"""
        return self.decided is not None and (id == self.decided.state.configuration or id in self.decided.state.recent)

    def _answer_read(self, ticket, call):
        at = self.confirmed_at
        if at is None or at < call.since:
            if self.now - call.asked_at >= ASK_AGAIN:
                call.asked_at = self.now
                self._send_heartbeats(urgent=True)
            return
        if self.published != self.decided.ballot:
            return  # its configuration is on the way
        del self.calls[ticket]
        configuration = self.decided.state.configuration
        body = self.bodies.content(configuration)
        self.orders.append(events.CompleteCall(ticket, 200, body) if body else events.CompleteCall(ticket, 404))


MESSAGES = {
    ReplicaHeartbeat: Replica._heartbeat,
    Prepare: Replica._prepare,
    Promise: Replica._promise,
    Accept: Replica._accept,
    Accepted: Replica._accepted,
    Refusal: Replica._refused,
    Decision: Replica._decision,
    ForwardedChange: Replica._carry,
    ForwardedChangeResult: Replica._carried,
}
HANDLERS = {
    events.ConfigurationSubmitted: Replica._put,
    events.EvacuationSubmitted: Replica._evacuate,
    events.ReadRequested: Replica._read,
    events.CallExpired: Replica._expired,
    events.AreaStored: Replica._stored,
    events.BodyReceived: Replica._body,
    events.LeaseChanged: Replica._lease,
    events.ShutdownRequested: Replica._leave,
    events.Tick: Replica._tick,
    MessageReceived: Replica._received,
}
