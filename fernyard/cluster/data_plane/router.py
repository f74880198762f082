"""Every decision of the data plane. `RequestRouter(...).step(now, told)` returns the orders to carry out, in order; `next_at` is
when it wants to be told `Tick`. Free of I/O; the ordinary path of a request stands in `_path`, top to bottom."""

from heapq import heappop, heappush
from random import Random

from ...interface import NEVER_RAN, End
from ...workers import Outcome
from ..common import rendezvous
from ..common.registry import Registry
from . import events as t
from .budget import Budget
from .quota import Quota
from .routes import Routes, homes, service_of
from .workers import Workers

COUNT, OUTCOME = "count", "outcome"  # what the path of a request waits for
MARGIN = 0.03  # seconds before the client's last moment, for the answer's way
PATIENCE, LEAST_PATIENCE = 3.0, 0.08  # usual times, and seconds, after which a repeatable one goes out again
COME_BACK, FULL_BACK = 0.15, 0.3  # seconds told to clients that may come again
CONNECTS = 4  # connections that never came up, for one request
WAIT_PART = 0.5  # of the target that a request may wait at a worker
REPEATABLE = frozenset(("idempotent", "egress"))  # kinds of routes whose requests may run more than once
PROMISES = frozenset((408, 421, 429, 503))  # statuses that say: it has not run and never will


class Request:
    """One request, from its arrival to the end of its last dispatch. `ran`: some worker may have run it."""


def surely_never_ran(outcome):
    """Neither did the worker of this dispatch run it, nor will it."""
    return outcome.end in NEVER_RAN or not outcome.sent


class RequestRouter:
    def __init__(self, now, settings, incarnation):
        self.set, self.now, self.orders, self.random = settings, now, [], Random(settings.node)
        self.routes, self.requests, self.timers, self.timer = None, {}, [], 0
        self.registry, self.revision, self.evacuated = Registry(), 0, []
        self.quota = Quota(settings.node, incarnation)
        self.workers = Workers(settings.node, settings.zone, settings.region, settings.zones, self.random)
        self.budgets, self.counters, self.sent, self.unserved = {}, {}, 0, 0

    def step(self, now, told):
        self.now, self.orders = now, []
        HEAR[type(told)](self, told)
        return self.orders

    def next_at(self):
        return self.timers[0][0] if self.timers else None

    @property
    def serves(self):
        """May clients be sent here?"""
        return self.routes is not None and bool(self.workers.known)

    # The path of a request -------------------------------------------------------------------------------------------

    def _path(self, req):
        """The ordinary path of a request, top to bottom; it yields while it waits."""
        req.routes = self.routes
        route = req.route = req.routes.find(req.told.host, req.told.path)
        if route is None:
            return self._answer(req, 404)
        req.left_at = min(req.left_at, self.now + route.timeout)
        tenant = req.tenant = None
        if self.routes.plan.keyed and not route.public:
            tenant = req.tenant = self.routes.tenant(req.told.key)
            if tenant is None:
                return self._answer(req, 401)
        if not self.workers.known:
            return self._answer(req, 503, COME_BACK)
        if tenant is not None and tenant.rate:
            fits, total = yield from self._admit(tenant, req)
            if not fits:
                return self._answer(req, 429, self.quota.room_in(tenant, total))
        service = req.service = self.routes.services.get(service_of(route, self.random.random()))
        if service is None:
            return self._answer(req, 503, COME_BACK)
        allowed = homes(route, tenant)
        budget = self._budget(service.name)
        budget.request(self.now)
        while True:
            again = bool(req.tried)
            worker = None
            if self._may_send(req, budget):
                most = min(WAIT_PART * route.target, req.left_at - self.now - MARGIN)
                worker = self.workers.choose(self.now, service, route, allowed, (*req.tried, *req.missed), most)
            if worker is not None and self.now < req.left_at - MARGIN:
                if again:
                    budget.repeat(self.now)
                self._send(req, worker)
            elif not req.out:
                return self._give_up(req)
            ended = yield OUTCOME
            if ended is None:  # out for long: one more may go
                continue
            if ended.end is End.PASSED:
                return self._relay(req, ended)
            self._failed(req, ended)
            if len(req.missed) >= CONNECTS and not req.out:
                return self._give_up(req)
            while req.out and not self._may_send(req, budget):
                ended = yield OUTCOME
                if ended is None:
                    continue
                if ended.end is End.PASSED:
                    return self._relay(req, ended)
                self._failed(req, ended)

    def _failed(self, req, outcome):
        """A dispatch ended without success."""
        if not outcome.sent or outcome.end is End.NO_CONNECTION:
            req.tried.remove(outcome.worker)
            req.missed.append(outcome.worker)
        elif not surely_never_ran(outcome):
            req.ran = True
            req.failure = outcome if outcome.end is End.ERROR and outcome.status >= 300 else req.failure

    def _may_send(self, req, budget):
        """One worker more: the first is free of the budget."""
        if (req.out or req.ran) and not self._repeatable(req):
            return False
        again = bool(req.tried)
        return len(req.tried) < req.route.tries and (not again or budget.may(self.now, len(self.registry.gateways)))

    def _repeatable(self, req):
        """May it run more than once, by the route that it was taken for and by the one that holds for it now?"""
        if req.route.kind not in REPEATABLE:
            return False
        if req.routes is self.routes:
            return True
        route = self.routes.find(req.told.host, req.told.path)
        return route is not None and route.kind in REPEATABLE

    def _admit(self, tenant, req):
        """One add of the request's unit; the total returned decides. Without an answer, our part of the limit does."""
        counter = self._counter(tenant.name)
        gateway = self.registry.gateways.get(counter)
        total = None
        if gateway is not None:
            count, wait = self.quota.ask(self.now, tenant, counter, self.registry.version, req)
            self.orders.append(t.Add(None if gateway.node == self.set.node else gateway.ip, count))
            if wait:
                self._at(self.now + min(wait, req.left_at - self.now), self._uncounted, req, count.ask, counter)
                total = yield COUNT
            else:
                self._at(self.now + 0.5, self._uncounted, None, count.ask, counter)
        if total is not None:
            fits = self.quota.fits(self.now, tenant, total)
        else:
            fits = self.quota.fits_unasked(self.now, tenant, len(self.registry.gateways))
        if fits:
            self.quota.took(self.now, tenant, gateway is not None)
            req.counted = True
        return fits, total

    def _counter(self, name):
        """The gateway that holds a tenant's counts; remembered while the same ones live."""
        if name not in self.counters:
            self.counters[name] = rendezvous.first(name, self.registry.gateways)
        return self.counters[name]

    def _uncounted(self, req, ask, counter):
        if self.quota.late(ask, counter) is not None and req is not None and not req.closed:
            self._resume(req, None, COUNT)

    def _budget(self, name):
        budget = self.budgets.get(name)
        if budget is None:
            bound = self.set.bound
            budget = self.budgets[name] = Budget(
                bound("retryRatio", 0.1), bound("retryWindowS", 10.0), bound("retrySlack", 10.0)
            )
        return budget

    def _send(self, req, worker):
        dispatch, req.sent = req.sent, req.sent + 1
        req.tried.append(worker.told.id)
        req.out[dispatch] = (worker.told.id, self.now)
        self.workers.sent(self.now, worker, req.service)
        self.sent += 1
        left = req.left_at - self.now
        self.orders.append(
            t.Send(
                req.number,
                dispatch,
                worker.told.id,
                worker.told.address,
                req.tenant.name if req.tenant else None,
                max(0.001, left - MARGIN),
            )
        )
        if req.route.kind in REPEATABLE:
            usual = self.workers.usual_of(self.now, req.route)
            self._at(self.now + max(LEAST_PATIENCE, PATIENCE * usual), self._overlong, req, dispatch)

    def _overlong(self, req, dispatch):
        """Far longer than usual: the worker may be dark, and a repeatable request still has time elsewhere."""
        if dispatch not in req.out:
            return
        self.workers.overlong(self.now, req.out[dispatch][0])
        if not req.closed and req.waits == OUTCOME:
            self._resume(req, None, OUTCOME)

    def _relay(self, req, outcome):
        if not req.closed:
            self.orders.append(t.Relay(req.number, outcome))
        self._close(req)

    def _answer(self, req, status, retry=0.0):
        if not req.closed:
            self.unserved += status in (502, 503, 504)
            self.orders.append(t.Answer(req.number, status, retry))
        self._close(req)

    def _give_up(self, req):
        """Answered at once. What surely never ran may be asked again; a failure of the worker's own goes as it came."""
        if not req.ran and not req.out:
            if req.counted:
                self.quota.back(self.now, req.tenant)
            return self._answer(req, 503, FULL_BACK if req.tried else COME_BACK)
        if req.failure is not None and req.failure.status not in PROMISES:
            return self._relay(req, req.failure)
        return self._answer(req, 504 if self.now >= req.left_at - 2 * MARGIN else 502)

    # What is heard ---------------------------------------------------------------------------------------------------

    def _asked(self, told):
        req = Request()
        req.number, req.told, req.left_at, req.closed = told.number, told, self.now + told.left, False
        req.tried, req.missed, req.out, req.sent, req.ran, req.failure = [], [], {}, 0, False, None
        req.waits, req.routes, req.route, req.tenant, req.counted = None, None, None, None, False
        if self.routes is None:
            self.orders.append(t.Answer(told.number, 503, COME_BACK))
            return
        self.requests[told.number] = req
        req.path = self._path(req)
        self._resume(req, None, None)

    def _resume(self, req, value, waits):
        if req.closed or req.waits != waits:
            return
        req.waits = "running"
        try:
            req.waits = req.path.send(value)
        except StopIteration:
            req.waits = None

    def _ended(self, outcome):
        req = self.requests.get(outcome.number)
        if req is None or outcome.dispatch not in req.out:
            return
        worker, at = req.out.pop(outcome.dispatch)
        self.workers.ended(self.now, worker, req.route, outcome, self.now - at)
        if not req.closed:
            self._resume(req, outcome, OUTCOME)
        if req.closed and not req.out:
            self.requests.pop(req.number, None)

    def _close(self, req):
        req.closed = True
        if not req.out:
            self.requests.pop(req.number, None)

    def _gone(self, told):
        req = self.requests.get(told.number)
        if req is not None:
            self._close(req)

    def _counted(self, told):
        pending = self.quota.answered(self.now, told.total)
        if pending is not None:
            self._resume(pending.done, told.total, COUNT)

    def _configuration_changed(self, told):
        """Never back to an older revision within one incarnation."""
        update = told.update
        if update.revision <= self.revision:
            return
        if update.plan is not None:
            self.routes = Routes(update.plan)
        if self.routes is None:
            return  # a revision without its plan is of no use yet
        self.revision, self.evacuated = update.revision, update.evacuated
        self.workers.zones_told(self.now, update.evacuated)

    def _registry_changed(self, told):
        if self.registry.follow(told.update, self.now):
            self.counters = {}
            self.workers.registry(self.now, self.registry.workers, self.registry.gateways)

    # Timers ----------------------------------------------------------------------------------------------------------

    def _at(self, at, call, *args):
        self.timer += 1
        heappush(self.timers, (at, self.timer, call, args))

    def _tick(self, _):
        while self.timers and self.timers[0][0] <= self.now:
            _, _, call, args = heappop(self.timers)
            call(*args)


HEAR = {
    t.Asked: RequestRouter._asked,
    t.Gone: RequestRouter._gone,
    t.Tick: RequestRouter._tick,
    t.Counted: RequestRouter._counted,
    t.ConfigurationChanged: RequestRouter._configuration_changed,
    t.RegistryChanged: RequestRouter._registry_changed,
    Outcome: RequestRouter._ended,
}
