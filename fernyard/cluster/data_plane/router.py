"""Every decision of the data plane: `RequestRouter.step(now, event)` returns the commands to execute, in order. Free of I/O.

The ordinary path of a request is `RequestRouter._path`, top to bottom: route and tenant, admission by the tenant's quota, choice
of a service, then attempts at its workers with retries and hedged requests. Times are seconds of the machine's steady clock.
"""

from collections.abc import Generator
from random import Random
from typing import Any, NamedTuple, assert_never

from ...interface import NEVER_RAN, End
from ...workers import Outcome
from ..common import rendezvous
from ..common.messages import ConfigurationUpdate, RegistryUpdate, Tenant, Total
from ..common.registry import Registry
from ..common.settings import Settings
from .commands import AnswerRequest, CancelAttempt, Command, ForwardRequest, RelayAnswer, SendCount
from .endpoints import Endpoint, EndpointSelector
from .events import (
    ClientGone,
    ConfigurationChanged,
    CountAnswered,
    RegistryChanged,
    RequestArrived,
    RouterEvent,
    Tick,
)
from .metrics import ClientStage, RouterMetrics
from .quota import QuotaClient
from .request import Attempt, Path, Request, Wait
from .retry_budget import RetryBudget
from .routes import Routes, allowed_regions, choose_service
from .timers import Timers

ANSWER_MARGIN = 0.03  # before the client's deadline, for the way of the answer
HEDGE_AFTER, MIN_HEDGE_DELAY = 3.0, 0.08  # usual latencies, and seconds, after which a hedged request goes out
RETRY_AFTER, RETRY_AFTER_TRIED = 0.15, 0.3  # told to clients that may come again: untried, and tried in vain
MAX_UNREACHABLE = 4  # workers to which no connection was had, for one request
MAX_QUEUE_WAIT = 0.5  # of the latency target that a request may wait at a worker
LATE_COUNT_TIMEOUT = 0.5  # for an answer of a counter that nobody waits for
REPEATABLE = frozenset(("idempotent", "egress"))  # kinds of routes whose requests may run more than once
PROMISES = frozenset((408, 421, 429, 503))  # statuses that say: it has not run and never will


class CountResult(NamedTuple):
    """The answer of a counter, None where none came in time; `was_sent`: it was asked."""

    total: Total | None
    was_sent: bool


def surely_never_ran(outcome: Outcome) -> bool:
    """Neither did the worker of this attempt run it, nor will it."""
    return outcome.end in NEVER_RAN or not outcome.sent


class RequestRouter:
    """Decides for one gateway."""

    def __init__(self, now: float, settings: Settings, incarnation: int) -> None:
        """`incarnation`: a number that no other run of any process has."""
        self.settings, self.now = settings, now
        self.random = Random(settings.node)
        self.routes: Routes | None = None  # of the configuration in force
        self.registry, self.revision = Registry(), 0
        self.evacuated: list[str] = []
        self.requests: dict[int, Request] = {}
        self.quota = QuotaClient(settings.node, incarnation)
        self.endpoints = EndpointSelector(settings.node, settings.zone, settings.region, settings.zones, self.random)
        self.metrics = RouterMetrics()
        self._commands: list[Command] = []
        self._timers = Timers()
        self._budgets: dict[str, RetryBudget] = {}  # by service
        self._counters: dict[str, str | None] = {}  # by tenant

    def step(self, now: float, event: RouterEvent) -> list[Command]:
        """Handles one event; returns the commands to execute, in order."""
        self.now = now
        match event:
            case Outcome():
                self._on_outcome(event)
            case RequestArrived():
                self._on_arrival(event)
            case CountAnswered():
                self._on_count_answered(event.total)
            case Tick():
                self._timers.run_due(now)
            case ClientGone():
                self._on_client_gone(event)
            case ConfigurationChanged():
                self._on_configuration_changed(event.update)
            case RegistryChanged():
                self._on_registry_changed(event.update)
            case _:
                assert_never(event)
        commands, self._commands = self._commands, []  # not kept: bodies in them would take memory until the next event
        return commands

    def next_at(self) -> float | None:
        """When `Tick` is due, or None."""
        return self._timers.next_at()

    @property
    def serves(self) -> bool:
        """May clients be sent here?"""
        return self.routes is not None and bool(self.endpoints.endpoints)

    # The path of a request -------------------------------------------------------------------------------------------

    def _path(self, request: Request) -> Path:
        """The ordinary path of a request, top to bottom; it yields while it waits."""
        if not self._find_route(request):
            return
        if not (yield from self._admit(request)):
            return
        if self._find_service(request):
            yield from self._attempts(request)

    def _find_route(self, request: Request) -> bool:
        """Route and tenant; false where the request is answered."""
        arrival, routes = request.arrival, request.routes
        route = request.route = routes.find(arrival.host, arrival.path)
        if route is None:
            return self._answer(request, 404)
        request.deadline = min(request.deadline, self.now + route.timeout)
        if routes.plan.keyed and not route.public:
            request.tenant = routes.tenant(arrival.key)
            if request.tenant is None:
                return self._answer(request, 401)
        if not self.endpoints.endpoints:
            return self._answer(request, 503, RETRY_AFTER)
        return True

    def _admit(self, request: Request) -> Generator[Wait, Any, bool]:
        """Admission by the tenant's quota; false where the request is answered."""
        tenant = request.tenant
        if tenant is None or not tenant.rate:
            return True
        total, was_sent = yield from self._count(tenant, request)
        if total is not None:
            fits = self.quota.fits(self.now, tenant, total)
        else:
            fits = self.quota.fits_locally(self.now, tenant, len(self.registry.gateways))
        if not fits:
            return self._answer(request, 429, self.quota.retry_after(tenant, total))
        self.quota.admitted(self.now, tenant, was_sent)
        request.counted = True
        return True

    def _find_service(self, request: Request) -> bool:
        """One of the services of the route's split; false where the request is answered."""
        assert request.route is not None
        name = choose_service(request.route, self.random.random())
        request.service = request.routes.services.get(name)
        if request.service is None:
            return self._answer(request, 503, RETRY_AFTER)
        return True

    def _attempts(self, request: Request) -> Path:
        """Attempts at workers, until one passes or no more may be made."""
        assert request.service is not None
        budget = self._budget(request.service.name)
        budget.add_request(self.now)
        while True:
            if not self._begin_attempt(request, budget) and not request.in_flight:
                return self._give_up(request)
            outcome: Outcome | None = yield Wait.OUTCOME
            if outcome is None:  # in flight for long: a hedged request may go out
                continue
            if outcome.end is End.PASSED:
                return self._relay(request, outcome)
            self._record_failure(request, outcome)
            if len(request.unreachable) >= MAX_UNREACHABLE and not request.in_flight:
                return self._give_up(request)
            while request.in_flight and not self._may_attempt(request, budget):
                outcome = yield Wait.OUTCOME
                if outcome is None:
                    continue
                if outcome.end is End.PASSED:
                    return self._relay(request, outcome)
                self._record_failure(request, outcome)

    # Attempts --------------------------------------------------------------------------------------------------------

    def _begin_attempt(self, request: Request, budget: RetryBudget) -> bool:
        """Forwards the request once more, where that is allowed and a worker is free."""
        if not self._may_attempt(request, budget):
            return False
        endpoint = self._choose_endpoint(request)
        if endpoint is None or self.now >= request.deadline - ANSWER_MARGIN:
            return False
        if request.tried:
            budget.add_retry(self.now)
        self._forward(request, endpoint)
        return True

    def _may_attempt(self, request: Request, budget: RetryBudget) -> bool:
        """May it go to one worker more? The first is free of the budget."""
        assert request.route is not None
        if (request.in_flight or request.may_have_run) and not self._repeatable(request):
            return False
        if len(request.tried) >= request.route.tries:
            return False
        return not request.tried or budget.allows_retry(self.now, len(self.registry.gateways))

    def _repeatable(self, request: Request) -> bool:
        """May it run more than once, by the route under which it was taken and by the one that is in force for it now?"""
        assert request.route is not None and self.routes is not None
        if request.route.kind not in REPEATABLE:
            return False
        if request.routes is self.routes:
            return True
        route = self.routes.find(request.arrival.host, request.arrival.path)
        return route is not None and route.kind in REPEATABLE

    def _choose_endpoint(self, request: Request) -> Endpoint | None:
        assert request.route is not None and request.service is not None
        remaining = request.deadline - self.now - ANSWER_MARGIN
        return self.endpoints.choose(
            self.now,
            request.service,
            request.route,
            allowed_regions(request.route, request.tenant),
            (*request.tried, *request.unreachable),
            min(MAX_QUEUE_WAIT * request.route.target, remaining),
        )

    def _forward(self, request: Request, endpoint: Endpoint) -> None:
        assert request.route is not None and request.service is not None
        worker, attempt = endpoint.listed, request.attempts
        request.attempts += 1
        request.tried.append(worker.id)
        request.in_flight[attempt] = Attempt(worker.id, self.now)
        self.endpoints.attempt_began(self.now, endpoint, request.service)
        self.metrics.forwarded += 1
        tenant = request.tenant.name if request.tenant is not None else None
        timeout = max(0.001, request.deadline - self.now - ANSWER_MARGIN)
        self._execute(ForwardRequest(request.number, attempt, worker.id, worker.address, tenant, timeout))
        if request.route.kind in REPEATABLE:
            usual = self.endpoints.usual_latency(self.now, request.route)
            hedge_at = self.now + max(MIN_HEDGE_DELAY, HEDGE_AFTER * usual)
            self._timers.add(hedge_at, self._on_overdue, request, attempt)

    def _on_overdue(self, request: Request, attempt: int) -> None:
        """Far longer than usual: the worker may be unreachable, and a repeatable request still has time elsewhere."""
        if attempt not in request.in_flight:
            return
        self.endpoints.attempt_overdue(self.now, request.in_flight[attempt].worker)
        if not request.closed and request.wait is Wait.OUTCOME:
            self._resume(request, None, Wait.OUTCOME)

    def _record_failure(self, request: Request, outcome: Outcome) -> None:
        """An attempt ended without success."""
        if not outcome.sent or outcome.end is End.NO_CONNECTION:
            request.tried.remove(outcome.worker)
            request.unreachable.append(outcome.worker)
        elif not surely_never_ran(outcome):
            request.may_have_run = True
            if outcome.end is End.ERROR and outcome.status >= 300:
                request.failure = outcome

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bound = self.settings.bound
            budget = self._budgets[service] = RetryBudget(
                bound("retryRatio", 0.1), bound("retryWindowS", 10.0), bound("retrySlack", 10.0)
            )
        return budget

    # Counts ----------------------------------------------------------------------------------------------------------

    def _count(self, tenant: Tenant, request: Request) -> Generator[Wait, Any, CountResult]:
        """One add of the request's unit at the tenant's counter."""
        counter = self._counter(tenant.name)
        gateway = self.registry.gateways.get(counter) if counter is not None else None
        if counter is None or gateway is None:
            return CountResult(None, False)
        count, timeout = self.quota.request_add(self.now, tenant, counter, self.registry.version, request)
        self._execute(SendCount(None if gateway.node == self.settings.node else gateway.ip, count))
        if not timeout:
            self._timers.add(self.now + LATE_COUNT_TIMEOUT, self._on_count_timeout, None, count.request_id, counter)
            return CountResult(None, True)
        timeout = min(timeout, request.deadline - self.now)
        self._timers.add(self.now + timeout, self._on_count_timeout, request, count.request_id, counter)
        total: Total | None = yield Wait.COUNT
        return CountResult(total, True)

    def _counter(self, tenant: str) -> str | None:
        """The gateway that has a tenant's counts; remembered while the same gateways live."""
        if tenant not in self._counters:
            self._counters[tenant] = rendezvous.first(tenant, self.registry.gateways)
        return self._counters[tenant]

    def _on_count_timeout(self, request: Request | None, request_id: int, counter: str) -> None:
        pending = self.quota.timed_out(request_id, counter)
        if pending is not None and request is not None and not request.closed:
            self._resume(request, None, Wait.COUNT)

    # Answers ---------------------------------------------------------------------------------------------------------

    def _relay(self, request: Request, outcome: Outcome) -> None:
        if not request.closed:
            self._execute(RelayAnswer(request.number, outcome))
        request.may_have_run = True
        self._close(request)

    def _answer(self, request: Request, status: int, retry_after: float = 0.0) -> bool:
        """Answers the request; false, as it goes no further."""
        if not request.closed:
            self.metrics.unserved += status in (502, 503, 504)
            self._execute(AnswerRequest(request.number, status, retry_after))
        self._close(request)
        return False

    def _give_up(self, request: Request) -> None:
        """Answered at once. What surely never ran may be sent again by the client; a failure of the worker's own is relayed."""
        if not request.may_have_run and not request.in_flight:
            self._give_back_unit(request)
            self._answer(request, 503, RETRY_AFTER_TRIED if request.tried else RETRY_AFTER)
        elif request.failure is not None and request.failure.status not in PROMISES:
            self._relay(request, request.failure)
        else:
            self._answer(request, 504 if self.now >= request.deadline - 2 * ANSWER_MARGIN else 502)

    def _give_back_unit(self, request: Request) -> None:
        """A request that was admitted surely never ran, and none of its attempts is under way: its tenant gets its unit back."""
        if request.counted and request.tenant is not None:
            request.counted = False
            self.quota.give_back(self.now, request.tenant)

    def _execute(self, command: Command) -> None:
        self._commands.append(command)

    # Events ----------------------------------------------------------------------------------------------------------

    def _on_arrival(self, arrival: RequestArrived) -> None:
        if self.routes is None:
            self._execute(AnswerRequest(arrival.number, 503, RETRY_AFTER))
            return
        request = Request(arrival, self.now + arrival.patience, self.routes)
        self.requests[arrival.number] = request
        request.path = self._path(request)
        self._resume(request, None, Wait.START)

    def _resume(self, request: Request, value: Total | Outcome | None, wait: Wait) -> None:
        """Goes on with the path of a request, if it waits for that."""
        if request.closed or request.wait is not wait or request.path is None:
            return
        request.wait = Wait.RUNNING
        try:
            request.wait = request.path.send(value)
        except StopIteration:
            request.wait = Wait.NOTHING

    def _on_outcome(self, outcome: Outcome) -> None:
        request = self.requests.get(outcome.number)
        if request is None or request.route is None or outcome.dispatch not in request.in_flight:
            return
        attempt = request.in_flight.pop(outcome.dispatch)
        latency = self.now - attempt.began_at
        self.endpoints.attempt_ended(self.now, attempt.worker, request.route, outcome, latency)
        if request.closed:
            self._on_abandoned_outcome(request, outcome)
        else:
            self._resume(request, outcome, Wait.OUTCOME)
        if request.closed and not request.in_flight:
            self.requests.pop(request.number, None)

    def _on_abandoned_outcome(self, request: Request, outcome: Outcome) -> None:
        """An attempt ended after its client left, or after another attempt was answered."""
        self.metrics.record_abandoned(outcome.end.value.replace(" ", "_"), self.now - request.closed_at)
        request.may_have_run = request.may_have_run or not surely_never_ran(outcome)
        if not request.in_flight and not request.may_have_run:
            self._give_back_unit(request)

    def _close(self, request: Request) -> None:
        """Nobody waits for it any more. Attempts that may be repeated end with it: a worker is not kept at work for nobody. One
        that may not is left to its end once it may have reached its worker: cut off, its effect would be as good as lost."""
        request.closed, request.closed_at = True, self.now
        for attempt in request.in_flight:
            assert request.route is not None
            self._execute(CancelAttempt(request.number, attempt, request.route.kind not in REPEATABLE))
        if not request.in_flight:
            self.requests.pop(request.number, None)

    def _on_client_gone(self, event: ClientGone) -> None:
        request = self.requests.get(event.number)
        if request is None or request.closed:
            self.metrics.record_client_gone(ClientStage.ANSWERED)
            return
        self.metrics.record_client_gone(ClientStage.ADMISSION if request.wait is Wait.COUNT else ClientStage.ATTEMPT)
        self._close(request)

    def _on_count_answered(self, total: Total) -> None:
        pending = self.quota.match(self.now, total)
        if pending is None:
            return
        if pending.request.closed and pending.request.wait is Wait.COUNT:
            self._on_count_of_gone(pending.request, total)
        self._resume(pending.request, total, Wait.COUNT)

    def _on_count_of_gone(self, request: Request, total: Total) -> None:
        """Its client left while the counter was asked. What fits was counted there, and goes back."""
        tenant = request.tenant
        if tenant is not None and self.quota.fits(self.now, tenant, total):
            self.quota.admitted(self.now, tenant, True)
            self.quota.give_back(self.now, tenant)

    def _on_configuration_changed(self, update: ConfigurationUpdate) -> None:
        """Never back to an older revision within one incarnation."""
        if update.revision <= self.revision:
            return
        if update.plan is not None:
            self.routes = Routes(update.plan)
        if self.routes is None:
            return  # a revision without its plan is of no use yet
        self.revision, self.evacuated = update.revision, update.evacuated
        self.endpoints.update_evacuated(self.now, update.evacuated)

    def _on_registry_changed(self, update: RegistryUpdate) -> None:
        if self.registry.follow(update, self.now):
            self._counters = {}
            self.endpoints.update_registry(self.now, self.registry.workers, self.registry.gateways)
