"""One replica of the control state: `Replica.step(now, event)` returns the commands to execute. Free of I/O.

A replica composes these parts, each of which can be read alone:

- `Voter` promises and accepts, with its vote on disk;
- `Proposer` has changes decided by a majority;
- `Learner` knows what is decided, and as of when;
- `Leadership` acts for all while this process holds the lease;
- `OperatorCalls` are the calls that wait for a decision;
- `PeerTable` holds the other replicas' heartbeats, `BodyCache` the bytes of configurations.

The way of an operator's change: `ConfigurationSubmitted` -> `OperatorCalls.submit_configuration` (here, or forwarded to the lease
holder) -> `Proposer.submit` -> `Prepare` / `Promise` -> `Accept` / `Accepted` -> `Learner.learn` -> `CompleteCall` and `PublishState`.
docs/control-state.md says what holds and why. Times are seconds of the machine's steady clock.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random
from typing import assert_never

import attrs

from .bodies import BodyCache
from .commands import Command, EraseArea, FetchBody, PublishState
from .events import (
    AreaStored,
    BodyReceived,
    CallExpired,
    ConfigurationSubmitted,
    EvacuationSubmitted,
    Event,
    LeaseChanged,
    MessageReceived,
    ReadRequested,
    ShutdownRequested,
    Tick,
)
from .leadership import DueChange, Leadership
from .learner import SERVED_WITHIN, DecidedState, Learner
from .messages import (
    Accept,
    Accepted,
    Decision,
    ForwardedChange,
    ForwardedChangeResult,
    Prepare,
    Promise,
    Refusal,
    ReplicaHeartbeat,
    ReplicaMessage,
)
from .operator_calls import Call, OperatorCalls
from .peer_table import PeerTable
from .proposer import ChangeKey, Multicast, Proposer
from .replica_context import ReplicaContext, ReplicaSettings
from .state import ConfigurationId, Confirm, ControlState, Member, ProposalNumber, Vote
from .voter import VOTE_AREA, Voter

FINISH_AFTER, FINISH_STAGGER = 0.3, 0.15  # until an unfinished decision is finished; more for each rank
SUSPENDED_AFTER = 1.0  # without a step, after which the process counts as having been suspended
RESUME_GRACE = 0.3  # until all that came while the process was suspended has been handled
READ_RETRY = 0.1  # until an urgent heartbeat is sent again
MAX_SEEDS = 12
MIN_FRESH_PEERS = 2  # with fewer, the seeds are contacted as well


class ConfirmationKey(ChangeKey, frozen=True):
    """Names a change that only finishes what another proposer began."""


CONFIRMATION = ConfirmationKey()


class Replica:
    """One replica; see the module."""

    def __init__(
        self,
        now: float,
        settings: ReplicaSettings,
        incarnation: int,
        vote: Vote | None,
        bodies: Mapping[ConfigurationId, bytes],
    ) -> None:
        """`incarnation`: a number that no other run of any process has; `vote`: the vote to begin with, from the disk or made
        for a first start (None: this machine stores nothing); `bodies`: configurations on the disk."""
        member = vote.member if vote is not None else Member(settings.ip, 0)
        self.context = ReplicaContext(settings, incarnation, member, now)
        random = Random(incarnation)
        self.proposer = Proposer(incarnation, random)
        self.peers = PeerTable(incarnation)
        self.bodies = BodyCache(now, bodies, settings.votes)
        self.voter = Voter(self.context, vote, self.bodies)
        self.learner = Learner(self.context, self.peers, self.proposer)
        self.leadership = Leadership(self.context, self.peers, random)
        self.calls = OperatorCalls(self.context, self.proposer, self.learner, self.leadership, self.peers, self.bodies)
        self.registry_version = (0, 0)
        self.draining = False
        self._stepped_at: float | None = None  # no call can have come before the first step
        self._resumed_at = now - RESUME_GRACE
        self._unfinished_since: float | None = None
        if vote is not None:
            self._recover(vote)

    def _recover(self, vote: Vote) -> None:
        if vote.state is not None and vote.accepted is not None and vote.accepted.round == 0:
            # A state of an earlier build: the area that held its bytes is erased once the vote is stored.
            self.bodies.store_again(vote.state.configuration)
        self.proposer.observe(vote.promised)
        self.proposer.observe(vote.accepted)

    def step(self, now: float, event: Event) -> list[Command]:
        """Handles one event; returns the commands to execute, in order."""
        if self._stepped_at is not None and now - self._stepped_at > SUSPENDED_AFTER:
            self._resumed_at = now
        self._stepped_at = now
        self.context.begin_step(now)
        self.proposer.expire(now)
        self._handle(event)
        self._follow_up()
        return self.context.commands

    # What the process asks -------------------------------------------------------------------------------------------

    @property
    def member(self) -> Member:
        """Who this replica is."""
        return self.context.member

    @property
    def vote(self) -> Vote | None:
        """Our vote as it is on disk, or None."""
        return self.voter.vote

    @property
    def decided(self) -> DecidedState | None:
        """The newest state known to be decided, with its proposal number, or None."""
        return self.learner.decided

    @property
    def state(self) -> ControlState | None:
        """The newest state known to be decided, or None."""
        return self.learner.state

    @property
    def is_voter(self) -> bool:
        """Does our vote count?"""
        return self.state is not None and self.member in self.state.voters

    @property
    def lease_held(self) -> bool:
        """Does the process hold the lease, as it last reported?"""
        return self.leadership.lease_held

    @property
    def confirmed_at(self) -> float | None:
        """As of when a majority had accepted nothing newer than what is decided here, or None."""
        return self.learner.confirmed_at(self.vote)

    def contact_age(self, now: float) -> float | None:
        """Seconds since a majority was in touch, or None."""
        self.context.now = now
        at = self.confirmed_at
        return now - at if at is not None else None

    def served_state(self, now: float) -> ControlState | None:
        """The state that gateways may be given now: the newest decided, while a majority was in touch of late; else None."""
        age = self.contact_age(now)
        if age is None or age > SERVED_WITHIN or not self.learner.is_published():
            return None
        return self.state

    def term(self) -> int | None:
        """The term under which this process acts for all, or None."""
        return self.leadership.term(self.state)

    def known_ips(self) -> list[str]:
        """Where the replicas are that vote or were in touch of late, ours included. After a start, until a majority is found, those
        that voted when our disk was last written."""
        ips = {peer.member.ip for peer in self.peers.known(self.context.now)}
        known = self.learner.newest_known(self.vote)
        if known is not None:
            ips.update(member.ip for member in known.state.electorate)
        return sorted(ips | {self.context.settings.ip})

    def other_ips(self) -> list[str]:
        """Where other replicas are or may be: the seeds as well, while hardly any other is in touch."""
        ips = set(self.known_ips())
        if self.decided is None or len(self.peers.fresh(self.context.now)) < MIN_FRESH_PEERS:
            ips.update(self.context.settings.seeds)
        return sorted(ips - {self.context.settings.ip})

    def may_request_lease(self) -> bool:
        """Does no other replica hold the lease, as far as known? Votes taken from its holder would only be split."""
        return self.calls.lease_holder() is None

    def voters_last_seen(self) -> list[float]:
        """When the last heartbeat of each other voter came, of those that ever sent one."""
        if self.state is None:
            return []
        ips = {member.ip for member in self.state.voters}
        return [peer.received_at for peer in self.peers.peers.values() if peer.member.ip in ips]

    def add_seeds(self, ips: Sequence[str]) -> None:
        """More addresses at which other replicas may be."""
        seeds = tuple(dict.fromkeys((*ips, *self.context.settings.seeds)))
        self.context.settings = attrs.evolve(self.context.settings, seeds=seeds[:MAX_SEEDS])

    def may_stop(self) -> bool:
        """Is our vote handed over, or no replica there to take it?"""
        state = self.state
        if state is None or self.member not in state.electorate:
            return True
        if state.previous:
            return False  # a majority of the former members is still needed
        fresh = self.peers.fresh(self.context.now)
        spares = [peer for peer in fresh if peer.heartbeat.votes and not peer.heartbeat.draining]
        return all(peer.member in state.voters for peer in spares)

    # Events ----------------------------------------------------------------------------------------------------------

    def _handle(self, event: Event) -> None:
        match event:
            case MessageReceived():
                self._handle_message(event.ip, event.message)
            case Tick():
                self.peers.forget_silent(self.context.now)
                self._send_heartbeats()
            case LeaseChanged():
                self.leadership.on_lease_changed(event.held, event.highest_term)
                caught_up_from = self.learner.caught_up_from()
                self._propose_due(self.leadership.due_change(self.state, caught_up_from, self.draining))
            case AreaStored(area=area, succeeded=succeeded):
                if area == VOTE_AREA:
                    self.voter.on_stored(succeeded)
                else:
                    self.bodies.on_stored(self.context.now, area, succeeded)
            case BodyReceived():
                self.bodies.add(self.context.now, event.id, event.body)
            case ConfigurationSubmitted():
                self.calls.submit_configuration(event)
            case EvacuationSubmitted():
                was_suspended = self.context.now - self._resumed_at < RESUME_GRACE
                self.calls.submit_evacuation(event, was_suspended)
            case ReadRequested():
                self.calls.read(event)
            case CallExpired():
                self.calls.expire(event)
            case ShutdownRequested():
                self.draining = True
                self._send_heartbeats()
            case _:
                assert_never(event)

    def _handle_message(self, ip: str, message: ReplicaMessage) -> None:
        match message:
            case ReplicaHeartbeat():
                self._on_heartbeat(ip, message)
            case Prepare():
                self._observe_proposal(ip, message.proposal_number)
                self.voter.prepare(ip, message)
            case Promise():
                self._multicast(self.proposer.promised(message))
            case Accept():
                self._observe_proposal(ip, message.proposal_number)
                self.voter.accept(ip, message)
            case Accepted():
                self._on_accepted(message)
            case Refusal():
                self.proposer.refused(self.context.now, message)
                self.proposer.withdraw(CONFIRMATION)
            case Decision():
                self.learner.learn(message.proposal_number, message.state, None)
            case ForwardedChange():
                self.calls.on_forwarded(ip, message)
            case ForwardedChangeResult():
                self.calls.on_forwarded_result(message)
            case _:
                assert_never(message)

    def _observe_proposal(self, ip: str, proposal_number: ProposalNumber) -> None:
        """Another is about to have something decided, which finishes what is unfinished: no need to do so here."""
        self.proposer.observe(proposal_number)
        if ip != self.context.settings.ip:
            self._unfinished_since = self.context.now

    def _on_accepted(self, message: Accepted) -> None:
        decided = self.proposer.accepted(message)
        if decided is None:
            return
        self.learner.learn(decided.proposal_number, decided.state, decided.began_at)
        for ip in self.other_ips():
            self.context.send(ip, Decision(decided.proposal_number, decided.state))
        for outcome in decided.outcomes:
            self.calls.on_outcome(outcome, decided.state.revision)

    def _on_heartbeat(self, ip: str, heartbeat: ReplicaHeartbeat) -> None:
        is_own = heartbeat.member.ip == self.context.settings.ip
        if is_own or not self.peers.record_heartbeat(self.context.now, heartbeat):
            return
        self.proposer.observe(heartbeat.accepted)
        decided = self.decided
        if decided is not None and (heartbeat.decided is None or heartbeat.decided < decided.proposal_number):
            self.context.send(ip, Decision(decided.proposal_number, decided.state))
        if heartbeat.urgent:
            self.context.send(ip, self._heartbeat_to(ip))

    # Heartbeats ------------------------------------------------------------------------------------------------------

    def _send_heartbeats(self, urgent: bool = False) -> None:
        self.peers.next_sequence(self.context.now)
        for ip in self.other_ips():
            self.context.send(ip, self._heartbeat_to(ip, urgent))

    def _heartbeat_to(self, ip: str, urgent: bool = False) -> ReplicaHeartbeat:
        peer = self.peers.peers.get(ip)
        vote, decided, context = self.vote, self.decided, self.context
        return ReplicaHeartbeat(
            node=context.settings.node,
            member=context.member,
            incarnation=context.incarnation,
            sequence=self.peers.sequence,
            acknowledged_incarnation=peer.heartbeat.incarnation if peer is not None else 0,
            acknowledged=peer.heartbeat.sequence if peer is not None else 0,
            accepted=vote.accepted if vote is not None else None,
            decided=decided.proposal_number if decided is not None else None,
            revision=decided.state.revision if decided is not None else 0,
            ready=decided is not None and self.bodies.is_stored(decided.state.configuration),
            votes=vote is not None,
            draining=self.draining,
            holds_lease=self.leadership.is_leader(),
            registry=self.registry_version,
            urgent=urgent,
        )

    # What follows from each event ------------------------------------------------------------------------------------

    def _follow_up(self) -> None:
        self.voter.store_first_vote()
        self._handle_local_messages()
        self.learner.learn_from_votes(self.vote)
        self._finish_undecided()
        self._propose_due(self.leadership.due_finish(self.state))
        self._propose_pending()
        self._synchronize_bodies()
        self._publish()
        self._complete_calls()
        self._propose_pending()

    def _handle_local_messages(self) -> None:
        while self.context.local_messages:
            self._handle_message(self.context.settings.ip, self.context.local_messages.popleft())

    def _propose_pending(self) -> None:
        if not self.proposer.is_idle():
            self._multicast(self.proposer.due(self.context.now, self.learner.newest_known(self.vote)))
        self._handle_local_messages()

    def _propose_due(self, due: DueChange | None) -> None:
        if due is not None:
            self.proposer.submit(self.context.now, due.key, due.change)

    def _multicast(self, multicasts: Iterable[Multicast]) -> None:
        for multicast in multicasts:
            for ip in dict.fromkeys(member.ip for member in multicast.members):
                self.context.send(ip, multicast.message)

    def _finish_undecided(self) -> None:
        """A decision that was begun, and whose proposer is gone, is finished."""
        now = self.context.now
        if not self.learner.has_unfinished(self.vote):
            self._unfinished_since = None
            return
        if self._unfinished_since is None:
            self._unfinished_since = now
        patience = READ_RETRY if self.calls.has_slow_confirmation(READ_RETRY) else FINISH_AFTER
        if now - self._unfinished_since >= patience + FINISH_STAGGER * self._rank():
            self._unfinished_since = now
            self.proposer.submit(now, CONFIRMATION, Confirm())

    def _rank(self) -> int:
        """Our position among those that vote, the lease holder first, so that not all propose at once."""
        if self.leadership.is_leader():
            return 0
        known = self.learner.newest_known(self.vote)
        electorate: Sequence[Member] = known.state.electorate if known is not None else ()
        # One that does not vote comes last: several such, all at once, had their proposals collide for seconds.
        return 1 + (electorate.index(self.member) if self.member in electorate else len(electorate))

    def _synchronize_bodies(self) -> None:
        """Stores, fetches and erases the bytes of configurations."""
        now, context = self.context.now, self.context
        for store in self.bodies.stores_due(now):
            context.execute(store)
        deferred = self.voter.deferred
        self._accept_deferred()
        if deferred is not None:
            self._fetch_missing(deferred.message.state.configuration, [deferred.ip, *self.other_ips()])
        state = self.state
        if state is not None and self.bodies.content(state.configuration) is None:
            holders = [peer.member.ip for peer in self.peers.fresh(now) if peer.heartbeat.ready]
            self._fetch_missing(state.configuration, holders or self.other_ips())
        for area in self.bodies.drop_unused(now, self._referenced_configurations()):
            context.execute(EraseArea(area))

    def _accept_deferred(self) -> None:
        deferred = self.voter.take_ready_deferred()
        if deferred is not None:
            self._handle_message(deferred.ip, deferred.message)
            self._handle_local_messages()

    def _fetch_missing(self, id: ConfigurationId, ips: Collection[str]) -> None:
        others = [ip for ip in ips if ip != self.context.settings.ip]
        source = self.bodies.source_to_fetch(self.context.now, id, others)
        if source is not None:
            self.context.execute(FetchBody(source, id))

    def _referenced_configurations(self) -> set[ConfigurationId]:
        """Configurations whose bytes something here may still need."""
        referenced = self.calls.referenced_configurations()
        referenced.update(state.configuration for state in self.voter.referenced_states())
        if self.state is not None:
            referenced.add(self.state.configuration)
        return referenced

    def _publish(self) -> None:
        decided = self.decided
        if decided is None or self.learner.is_published():
            return
        if self.bodies.content(decided.state.configuration) is not None:
            self.learner.published = decided.proposal_number
            self.context.execute(PublishState())

    def _complete_calls(self) -> None:
        for ticket, call in list(self.calls.pending.items()):
            if call.change is None:
                self._confirm(ticket, call)
            else:
                self.calls.follow_up(ticket, call)

    def _confirm(self, ticket: int, call: Call) -> None:
        """A read is answered, and an evacuation begins, once a majority confirmed, after the call came, that nothing newer is
        decided."""
        at, now = self.confirmed_at, self.context.now
        if at is not None and at >= call.confirmed_from:
            self.calls.confirmed(ticket, call)
        elif now >= call.confirmed_from and now - call.requested_at >= READ_RETRY:
            call.requested_at = now
            self._send_heartbeats(urgent=True)
