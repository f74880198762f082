"""The one place where state changes: an event comes in, the decisions are asked, effects go out.

It decides nothing itself: it turns what the sockets report into what the decisions are told, and their orders
into effects.
"""

from dataclasses import dataclass, replace
from heapq import heappop, heappush

import structlog

from .. import interface as i
from ..accord import Answered as OrderAnswered, Follow, Obey, Unheard
from ..accord.follower import Beat as FollowerBeat
from ..clients import Gone, Taken
from ..counter import Total
from ..decide import Gatekeeper
from ..discovery import Told
from ..freeze.keeper import Adopt, Keep, Lacking, Refused
from ..lateness import Lag, Offered
from ..plan import Forwarder, Heard, Lost, Reach
from ..recovery import Answered, Asked, Beat, Bring, Tell
from ..settings import Config
from ..workers import Outcome
from ..zones.filter import Visible
from .effects import (
    Answer,
    AskOrder,
    AskPlanner,
    Call,
    CloseIdle,
    Finish,
    GiveUp,
    KeepConfig,
    LastAnswers,
    Move,
    ReadConfig,
    Route,
    Send,
)

log = structlog.get_logger(__name__)
PASSED, DENIED, ABORTED = 200, 429, 502
BEFORE_KILLED = 500  # before the process may be killed, the last answer is written
CLOSING, BEAT, FOLLOW = 0, -1, -2  # timers of our own; those of the decisions have numbers from 1


@dataclass(slots=True)
class Tick:
    """A timer may be due."""


@dataclass(slots=True)
class Stop:
    """The program was told to end."""


@dataclass(slots=True)
class Reload:
    """The program was told that its configuration is another."""


@dataclass(slots=True)
class Configured:
    """The configuration as it stands now; nothing where it cannot be used."""

    config: Config | None


@dataclass(slots=True)
class Rerouted:
    """The description of routes as it stands now; nothing where it cannot be used."""

    table: object | None


@dataclass(slots=True)
class Handed:
    """The files as they stand now, where a configuration is served by agreement: a `freeze.Candidate` of which `content` is
    (Config, RouteTable or None); nothing where they cannot be used."""

    candidate: object | None


@dataclass(slots=True)
class Fault:
    """An effect could not be carried out; `number` names its req, if it has one."""

    number: int | None


class Held:
    """A req from its arrival until it is answered and its last dispatch has ended."""

    __slots__ = ("req", "sent", "out", "answered")

    def __init__(self, req):
        self.req, self.sent, self.out, self.answered = req, 0, 0, False


class Reducer:
    def __init__(
        self,
        config,
        counts,
        gatekeeper=None,
        between=None,
        lateness=None,
        follower=None,
        keeper=None,
        zones=None,
        shares=None,
    ):
        """What stands around the decisions, each None where the operator's file does not ask for it, in the order in which
        a req meets them (docs/architecture.md): `keeper` (a `freeze.Keeper`: is a configuration served that was agreed to),
        `shares` (an `EdgeShares`: has its tenant any left here), `lateness` (a `Lateness`); the decisions, which hear of workers through `zones` (a `ZoneFilter`); `between` (a
        `Recovery` or a `Forwarder`), before the counter. `follower` (an `accord.Follower`) hears the agreed order, and the
        parts in `parts` obey it."""
        self.lateness, self.follower, self.keeper, self.shares, self.zones = lateness, follower, keeper, shares, zones
        self.parts, self.follow_at = tuple(part for part in (keeper, shares, zones) if part is not None), None
        self.config, self.counts, self.between, self.beat_at = config, counts, between, None
        self.gatekeeper = gatekeeper or Gatekeeper()
        self.now, self.effects, self.held, self.addresses = 0, [], {}, {}
        self.timers, self.overtaken = [], []
        self.owed, self.stopping, self.closing, self.killed_at = 0, False, False, None

    def start(self, now):
        """The first happenings: the settings, and the list as it was had last."""
        self.now = now
        _, _, machines, addresses = self.config.known
        self.addresses = dict(addresses)
        # What a forwarder tells of is its own leases: no total of theirs makes sure of anything for others.
        settings = replace(self.config.settings, whole=not isinstance(self.between, Forwarder))
        launched = i.Launched(settings, self.config.seed)
        if self.zones is not None:
            machines = self.zones.listed(now, machines, True)
        for happening in launched, i.Roster(i.News.CACHED, machines):
            self._carry_out(self.gatekeeper.step(now, happening))
        if self.between is not None:
            self._tell_between(Beat())
        if self.follower is not None:
            self._tell_follower(FollowerBeat())
        return self._asked()

    def reduce(self, now, event):
        """The effects of one event."""
        self.now = now
        try:
            HEAR[type(event)](self, event)
        except Exception:
            # Whatever one event breaks, all other reqs go on.
            log.exception("event_fault", kind=type(event).__name__)
            self._fault(getattr(event, "number", None))
        if self.closing and not self.owed:
            self.closing = False
            self.effects.append(Finish())
        return self._asked()

    def next_timer(self):
        """When the first timer is due. Those of reqs that are forgotten wake nobody: they are told at the
        next ring. Most timers are such, and waking up is what costs this process most."""
        while self.timers and self.timers[0][2] is not None and self.timers[0][2] not in self.held:
            self.overtaken.append(heappop(self.timers)[1])
        return self.timers[0][0] if self.timers else None

    def _asked(self):
        effects, self.effects = self.effects, []
        return effects

    # Events ------------------------------------------------------------------------------------------------

    def _taken(self, req):
        self.held[req.number] = Held(req)
        self.owed += 1
        self.counts.add("taken")
        left = req.left
        if self.zones is not None:
            self.zones.taken(self.now)
        if self.stopping:
            # Clients go on sending on connections that stay open: what a kill would find unanswered is answered before.
            left = max(1, min(left, self.killed_at - self.now - BEFORE_KILLED))
        if self.keeper is not None and not self.keeper.takes:
            self.counts.add("denied_unconfirmed")
            return self._answer(req.number, DENIED, return_in=self.config.settings.longest_return)
        if self.shares is not None and not self.shares.admits(self.now, req.customer, req.plan, req.units):
            self.counts.add("denied_share")
            return self._answer(req.number, DENIED, return_in=self.config.settings.longest_return)
        if self.lateness is not None:
            share = self.config.settings.plans[req.plan].rate / req.doors
            if not self.lateness.step(self.now, Offered(req.customer, req.units, left, share)):
                self.counts.add("denied_late")
                return self._answer(req.number, DENIED, return_in=self.config.settings.longest_return)
        arrived = i.Arrived(req.number, req.frontend, req.plan, req.customer, left, req.units, req.doors)
        self._decide(arrived, req.number)

    def _late(self, event):
        if self.lateness is not None:
            self.lateness.step(self.now, event)
        if self.zones is not None:
            self.zones.late(self.now, event.late)

    def _gone(self, event):
        held = self.held.get(event.number)
        if held is not None and not held.answered:
            self.counts.add("gone")
            self._closed(event.number, held)
            self._decide(i.Left(event.number), event.number)

    def _ended(self, event):
        held = self.held.get(event.number)
        if held is None:
            return
        held.out -= 1
        self.counts.add("ended", event.end.value)
        if event.end is i.End.PASSED:
            self._answer(event.number, PASSED, event.body, event.headers)
        self._forget(event.number, held)
        if self.zones is not None:
            self.zones.ended(self.now, event.worker, event.end)
        ended = i.Ended(event.number, event.dispatch, event.worker, held.answered, event.end, event.took)
        self._decide(ended, event.number)

    def _total(self, event):
        self.counts.add("called", event.end.value)
        if self.between is not None:
            return self._tell_between(Answered(event.name, event.end, event.total, event.took))
        self._decide(i.Counted(event.name, event.end, event.total, event.took))

    def _tell_between(self, told):
        """What stands between is told, and what it orders: calls or asks, and outcomes as the decisions hear them."""
        for order in self.between.step(self.now, told):
            if type(order) is Bring:
                self.counts.add("calls")
                self.effects.append(Call(order.name, order.amount, order.keep))
            elif type(order) is Tell:
                self._decide(i.Counted(order.name, order.end, order.total, order.took))
            elif type(order) is Reach:
                self.counts.add("asks")
                self.effects.append(AskPlanner(order.planner, order.ask, order.wants))
            else:
                self.counts.add("recovery", order.kind)
                log.warning(
                    "counter_" + order.kind,
                    figure=round(order.figure, 4),
                    fleet=self.between.fleet,
                    seen=self.between.seen,
                )
        if self.beat_at is None or self.between.due < self.beat_at or self.beat_at <= self.now:
            self.beat_at = self.between.due
            heappush(self.timers, (self.beat_at, BEAT, None))

    def _tell_follower(self, told):
        """What each part reports goes with the next ask; what is obeyed from now on goes to each part."""
        if type(told) is FollowerBeat:
            self.follower.report = {part.name: part.report(self.now) for part in self.parts}
            if self.zones is not None:
                for told_of in self.zones.look(self.now):
                    self._of_part(told_of)
        for order in self.follower.step(self.now, told):
            if type(order) is Follow:
                self.counts.add("order", "asked")
                self.effects.append(AskOrder(order))
            elif type(order) is Obey:
                self._obey(order.order)
            else:
                self.counts.add("order", "strange")
                log.warning(
                    "order_of_others",
                    planner=order.planner,
                    cluster=order.cluster,
                    version=order.version,
                    do="name planners of one cluster alone in accord.planners; after a new beginning restart "
                    "every instance",
                )
        if self.follow_at is None or self.follower.due < self.follow_at or self.follow_at <= self.now:
            self.follow_at = self.follower.due
            heappush(self.timers, (self.follow_at, FOLLOW, None))

    def _obey(self, order):
        self.counts.add("order", "lost" if order is None else "obeyed")
        if order is not None:
            log.info("order_obeyed", version=order.version, digest=order.digest, cluster=self.follower.cluster)
        else:
            log.warning("order_lost", do="bring a majority of the planners up; meanwhile this instance judges alone")
        for part in self.parts:
            for told in part.obey(self.now, order and order.parts.get(part.name)):
                self._of_part(told)

    def _of_part(self, told):
        kind = type(told)
        if kind is Adopt:
            config, table = told.candidate.content
            log.info("configuration_adopted", digest=told.candidate.digest)
            self._configured(Configured(config))
            if table is not None:
                self._rerouted(Rerouted(table))
            self.effects.append(KeepConfig(told.candidate.digest))
        elif kind is Keep:
            self.effects.append(KeepConfig(told.digest))
        elif kind is Refused:
            self.counts.add("configurations", "refused")
            log.warning("configuration_refused", digest=told.digest, why=told.why, do=told.do)
        elif kind is Visible:
            self.counts.add("zones", "changed")
            self._decide(i.Roster(i.News.CHANGES, told.machines))
        elif kind is Lacking:
            log.error("configuration_lacking", digest=told.digest, do=told.do)
            self.effects.append(ReadConfig())

    def _handed(self, event):
        self.counts.add("configurations", "handed" if event.candidate else "failed")
        if event.candidate is not None:
            for told in self.keeper.handed(self.now, event.candidate):
                self._of_part(told)

    def _told(self, event):
        if event.machines is None:
            self.counts.add("discovery", "failed")
            return self._decide(i.Roster(i.News.FAILED))
        self.counts.add("discovery", "whole" if event.whole else "changes")
        if event.whole:
            self.addresses = {}
        self.addresses.update(event.addresses)
        for machine in event.machines:
            if machine.phase is i.Phase.GONE:
                self.addresses.pop(machine.worker, None)
        machines = event.machines if self.zones is None else self.zones.listed(self.now, event.machines, event.whole)
        self._decide(i.Roster(i.News.WHOLE if event.whole else i.News.CHANGES, machines))

    def _tick(self, _):
        overtaken, self.overtaken = self.overtaken, []
        for token in overtaken:
            self._decide(i.Woke(token))
        while self.timers and self.timers[0][0] <= self.now:
            _, token, _ = heappop(self.timers)
            if token == BEAT:
                self._tell_between(Beat())
            elif token == FOLLOW:
                self._tell_follower(FollowerBeat())
            elif token != CLOSING:
                self._decide(i.Woke(token))
            else:
                self.closing = True
                self.effects.append(CloseIdle())

    def _stop(self, _):
        if not self.stopping:
            self.stopping = True
            self.killed_at = self.now + int(self.config.limits.killed * 10_000)
            self.effects.append(LastAnswers())
            heappush(self.timers, (self.now + int(self.config.limits.accept_after_stop * 10_000), CLOSING, None))

    def _reload(self, _):
        self.effects.append(ReadConfig())

    def _configured(self, event):
        """Addresses move while all goes on; what else stands in the file holds from the next start."""
        now, old = event.config, self.config
        self.counts.add("reloads", "failed" if now is None else "read")
        if now is not None:
            others = (now.settings, now.limits, now.listen) != (old.settings, old.limits, old.listen)
            log.info("reloaded", discovery=now.discovery, counter=now.counter, others_changed=others)
            self.effects.append(Move(now.discovery, now.counter))

    def _rerouted(self, event):
        """Reqs in hand keep the units they were counted with: each carries its own."""
        self.counts.add("routes", "failed" if event.table is None else "read")
        if event.table is not None:
            log.info("routes_read", operations=len(event.table.operations))
            self.effects.append(Route(event.table))

    def _faulted(self, event):
        self._fault(event.number)

    # Orders ------------------------------------------------------------------------------------------------

    def _decide(self, happening, number=None):
        try:
            self._carry_out(self.gatekeeper.step(self.now, happening))
        except Exception:
            log.exception("decision_fault", told=type(happening).__name__)
            self._carry_out(self.gatekeeper.orders)  # what was ordered before the fault stands
            self._fault(number)

    def _carry_out(self, orders):
        for order in orders:
            kind = type(order)
            if kind is i.Wake:
                heappush(self.timers, (self.now + order.after, order.token, order.req))
            elif kind is i.Dispatch:
                self._send(order)
            elif kind is i.Add and self.between is not None:
                self._tell_between(Asked(order.name, order.amount, order.keep, self._plan(order.name)))
            elif kind is i.Add:
                self.counts.add("calls")
                self.effects.append(Call(order.name, order.amount, order.keep))
            elif kind is i.Deny:
                self._answer(order.req, DENIED, return_in=order.return_in)
            elif kind is i.Abort:
                self._answer(order.req, ABORTED)
            elif kind is i.Cancel:
                self.effects.append(GiveUp(order.req, order.dispatch))
            elif kind is not i.Follow:  # the list is always followed
                self.counts.add("order_unknown", kind.__name__)

    def _plan(self, name):
        """The plan of the customer whose bucket it is; the decisions know every customer with an add out."""
        customer = self.gatekeeper.customers.get(name & (1 << 33) - 1)
        return -1 if customer is None else customer.plan

    def _planner(self, event):
        self.counts.add("asked", "lost" if type(event) is Lost else "heard")
        self._tell_between(event)

    def _send(self, order):
        held, address = self.held.get(order.req), self.addresses.get(order.worker)
        if held is None:
            return
        dispatch, held.sent, held.out = held.sent, held.sent + 1, held.out + 1
        self.counts.add("dispatches")
        self.effects.append(Send(order.req, dispatch, order.worker, address, held.req, order.limit))

    def _answer(self, number, status, body=b"", headers=(), return_in=0):
        held = self.held.get(number)
        if held is not None and not held.answered:
            self.counts.add("answered", status)
            self.effects.append(Answer(number, status, body, headers, return_in))
            self._closed(number, held)

    def _closed(self, number, held):
        """Nothing is owed any more to a req that was just answered or whose client has just gone."""
        held.answered = True
        self.owed -= 1
        self._forget(number, held)

    def _forget(self, number, held):
        if held.answered and not held.out:
            self.held.pop(number, None)

    def _fault(self, number):
        """A fault in one req aborts that req, and no other."""
        self.counts.add("faults")
        held = self.held.get(number)
        if held is not None and not held.answered:
            self._answer(number, ABORTED)
            self._decide(i.Left(number), number)  # a second fault finds it answered


HEAR = {
    Taken: Reducer._taken,
    Gone: Reducer._gone,
    Outcome: Reducer._ended,
    Total: Reducer._total,
    Told: Reducer._told,
    Tick: Reducer._tick,
    Stop: Reducer._stop,
    Fault: Reducer._faulted,
    Heard: Reducer._planner,
    Lost: Reducer._planner,
    Reload: Reducer._reload,
    Configured: Reducer._configured,
    Lag: Reducer._late,
    Rerouted: Reducer._rerouted,
    Handed: Reducer._handed,
    OrderAnswered: Reducer._tell_follower,
    Unheard: Reducer._tell_follower,
}
