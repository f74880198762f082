"""Which worker a request is forwarded to: a near one while it is not busy, and never more than one in slow start can take.

Free of I/O; times are seconds. What is learned of each worker comes from the outcomes of attempts here alone.
"""

from collections.abc import Collection, Mapping, Sequence
from math import inf
from random import Random
from typing import NamedTuple

from ...estimate import Mean
from ...interface import End
from ...workers import Outcome
from ..common import rendezvous
from ..common.messages import GatewayAddress, Route, Service, Worker

# Outlier ejection: failures in a row that eject a worker; for how long first, at most.
EJECT_AFTER, EJECTION, MAX_EJECTION = 2, 0.4, 3.0
MAX_EJECTION_DOUBLINGS = 4
SLOWNESS_TAU, LATENCY_TAU = 6.0, 8.0  # over which slowness and usual latency are averaged
MAX_SLOWNESS, FAILURE_SLOWNESS = 8.0, 3.0  # in usual latencies: at most, and what a failure weighs
INITIAL_LATENCY = 0.2  # of a route's target, until answers show the usual latency
# Cost in usual latencies: of a worker in our zone, region, elsewhere; the least of any worker before that; of chance.
TIER_COST, MIN_COST, RANDOM_COST = (0.0, 0.35, 2.5), 0.75, 0.02
LARGE_ANSWER_FACTOR = 4.0  # times the tier's cost, for large answers
QUEUE_COST = 2.0  # of each usual latency that a request waits in the worker's queue
# Of a worker's capacity: from where one more request waits, and how many may be in flight at most.
FULL_FRACTION, MAX_IN_FLIGHT_FACTOR = 0.75, 2.0
SLOW_START_SENDERS = 3  # gateways that forward to a worker in slow start
SLOW_START_FRACTION = 0.55  # of what it can take, that they share
SLOW_START_MARGIN = 1.0  # past the end of a slow start
MAX_SENDER_SETS = 200  # remembered
MIN_SAMPLE = 2


class Endpoint:
    """One incarnation of a worker, as attempts here have shown it.

    `listed`: what the registry says; `in_flight`: attempts from here; `failures`: in a row; `slowness`: in usual latencies;
    `credit`: attempts that may be forwarded while it is in slow start; `is_wrong`: its address belongs to another by now.
    """

    def __init__(self, now: float, listed: Worker, region: str | None) -> None:
        self.listed, self.region = listed, region
        self.in_flight = self.failures = 0
        self.ejected_until = 0.0
        self.slowness = Mean(SLOWNESS_TAU, now, 1.0, 2.0)
        self.credit, self.credit_at = 0.0, now
        self.cold_until = listed.cold_until
        self.is_wrong = False

    def queue_wait(self) -> float:
        """Usual latencies that a request waits there for a slot, by what is in flight from here."""
        slots = max(1.0, FULL_FRACTION * self.listed.capacity)
        return max(0.0, self.in_flight + 1 - slots) / slots

    def cost(self, now: float, wait: float) -> float:
        """What a request costs there, in usual latencies, before the tier's cost."""
        load = self.in_flight / max(1, self.listed.capacity)
        slowness: float = self.slowness.read(now)
        return slowness * (1.0 + QUEUE_COST * wait + load)


class Requirements(NamedTuple):
    """What an endpoint has to meet. `regions`: None for all; `excluded`: ids; `max_wait`: in usual latencies."""

    service: Service
    regions: Collection[str] | None
    excluded: Collection[str]
    max_wait: float


class EndpointSelector:
    """All workers, and the choice among them."""

    def __init__(self, node: str, zone: str, region: str, zones: Mapping[str, str], random: Random) -> None:
        """`node`, `zone`, `region`: ours; `zones`: {zone: region}."""
        self.node, self.zone, self.region, self.zones, self.random = node, zone, region, zones, random
        self.endpoints: dict[str, Endpoint] = {}
        self._tiers: dict[str, tuple[list[Endpoint], list[Endpoint], list[Endpoint]]] = {}  # by service
        self._latency: dict[str, Mean] = {}  # by route
        self._evacuated: set[str] = set()
        self._restored_at: dict[str, float] = {}  # by zone
        self._gateways: Mapping[str, GatewayAddress] = {}
        self._senders: dict[str, list[str]] = {}  # by worker
        self._sharers = 1  # gateways in our zone

    # What is known of workers ----------------------------------------------------------------------------------------

    def update_registry(
        self, now: float, workers: Mapping[str, Worker], gateways: Mapping[str, GatewayAddress]
    ) -> None:
        """The workers and gateways there are."""
        endpoints: dict[str, Endpoint] = {}
        for id, listed in workers.items():
            endpoint = self.endpoints.get(id)
            if endpoint is None or _is_another(endpoint.listed, listed):
                endpoint = Endpoint(now, listed, self.zones.get(listed.zone))
            endpoint.listed = listed
            endpoint.cold_until = max(endpoint.cold_until, listed.cold_until)
            endpoints[id] = endpoint
        self.endpoints, self._tiers = endpoints, {}
        for endpoint in endpoints.values():
            tiers = self._tiers.setdefault(endpoint.listed.service, ([], [], []))
            tiers[self._tier(endpoint)].append(endpoint)
        if gateways.keys() != self._gateways.keys():
            self._senders = {}
        self._gateways = gateways
        self._sharers = sum(gateway.zone == self.zone for gateway in gateways.values())

    def update_evacuated(self, now: float, evacuated: Collection[str]) -> None:
        """`evacuated`: the zones that receive no traffic. The workers of one that is restored may be in slow start, which no
        list shows."""
        for zone in sorted(self._evacuated.difference(evacuated)):
            self._restored_at[zone] = now
        self._evacuated = set(evacuated)

    def _tier(self, endpoint: Endpoint) -> int:
        """0 in our zone, 1 in our region, 2 elsewhere."""
        return 0 if endpoint.listed.zone == self.zone else 1 if endpoint.region == self.region else 2

    # Choice ----------------------------------------------------------------------------------------------------------

    def usual_latency(self, now: float, route: Route) -> float:
        """The usual latency of answers on that route."""
        latency = self._latency.get(route.name)
        return INITIAL_LATENCY * route.target if latency is None else latency.read(now)

    def choose(
        self,
        now: float,
        service: Service,
        route: Route,
        regions: Collection[str] | None,
        excluded: Collection[str],
        max_wait: float,
    ) -> Endpoint | None:
        """The endpoint that is to get the request, or None. `excluded`: ids of workers; `max_wait`: seconds that the request
        may wait in the worker's queue."""
        required = Requirements(service, regions, excluded, max_wait / self.usual_latency(now, route))
        best: Endpoint | None = None
        best_cost = inf
        for tier, endpoints in enumerate(self._tiers.get(service.name, ())):
            tier_cost = TIER_COST[tier] * (LARGE_ANSWER_FACTOR if route.kind == "egress" else 1.0)
            if best_cost < tier_cost + MIN_COST:
                break  # none further away can be better
            for endpoint in self._sample(self._eligible(now, endpoints, required)):
                wait = endpoint.queue_wait()
                cost = endpoint.cost(now, wait) + tier_cost + RANDOM_COST * self.random.random()
                if cost < best_cost and wait <= required.max_wait:
                    best, best_cost = endpoint, cost
        return best

    def _sample(self, eligible: list[Endpoint]) -> list[Endpoint]:
        """Where many gateways share the workers each sees little of what is in flight, and the worker that all think best is
        the one that all overload: then the best of a few drawn by chance."""
        size = max(MIN_SAMPLE, -(-len(eligible) // max(1, self._sharers)))
        return eligible if len(eligible) <= size else self.random.sample(eligible, size)

    def _eligible(self, now: float, endpoints: Sequence[Endpoint], required: Requirements) -> list[Endpoint]:
        """Those that may get the request. One loop and no call for each check: it is the hottest of the gateway."""
        service, regions, excluded, _ = required
        evacuated = self._evacuated
        eligible = []
        for endpoint in endpoints:
            listed = endpoint.listed
            if listed.draining or endpoint.is_wrong or listed.id in excluded:
                continue
            if listed.zone in evacuated or now < endpoint.ejected_until:
                continue
            if regions is not None and endpoint.region not in regions:
                continue
            if endpoint.in_flight >= MAX_IN_FLIGHT_FACTOR * listed.capacity:
                continue
            if self._is_cold(now, endpoint, service) and not self._has_credit(now, endpoint, service):
                continue
            eligible.append(endpoint)
        return eligible

    # Slow start ------------------------------------------------------------------------------------------------------

    def _is_cold(self, now: float, endpoint: Endpoint, service: Service) -> bool:
        if now < endpoint.cold_until:
            return True
        restored_at = self._restored_at.get(endpoint.listed.zone) if self._restored_at else None
        return restored_at is not None and now < restored_at + service.cold_s + SLOW_START_MARGIN

    def _has_credit(self, now: float, endpoint: Endpoint, service: Service) -> bool:
        """May one more request be forwarded to a worker in slow start? A few gateways, named by rendezvous hashing, near ones
        first, share what it can take: their sum stays below it even while two sets of them are named at once."""
        if not service.cold_rate:
            return True
        if self.node not in self._senders_to(endpoint):
            return False
        rate = SLOW_START_FRACTION * service.cold_rate / SLOW_START_SENDERS
        endpoint.credit = min(1.0, endpoint.credit + rate * (now - endpoint.credit_at))
        endpoint.credit_at = now
        return endpoint.credit >= 1.0

    def _senders_to(self, endpoint: Endpoint) -> list[str]:
        id = endpoint.listed.id
        senders = self._senders.get(id)
        if senders is None:
            senders = self._name_senders(endpoint)
            if len(self._senders) > MAX_SENDER_SETS:
                self._senders.clear()
            self._senders[id] = senders
        return senders

    def _name_senders(self, endpoint: Endpoint) -> list[str]:
        id, zone = endpoint.listed.id, endpoint.listed.zone
        gateways = self._gateways.items()
        in_zone = [node for node, gateway in gateways if gateway.zone == zone]
        in_region = [node for node, gateway in gateways if gateway.region == endpoint.region and gateway.zone != zone]
        senders = rendezvous.top(id, in_zone, SLOW_START_SENDERS)
        senders += rendezvous.top(id, in_region, SLOW_START_SENDERS - len(senders))
        others = [node for node in self._gateways if node not in senders]
        return senders + rendezvous.top(id, others, SLOW_START_SENDERS - len(senders))

    # Outcomes --------------------------------------------------------------------------------------------------------

    def attempt_began(self, now: float, endpoint: Endpoint, service: Service) -> None:
        """A request is forwarded there."""
        endpoint.in_flight += 1
        if self._is_cold(now, endpoint, service):
            endpoint.credit -= 1.0

    def attempt_ended(self, now: float, id: str, route: Route, outcome: Outcome, latency: float) -> None:
        """An attempt at the worker of that id ended, after `latency`."""
        endpoint = self.endpoints.get(id)
        if endpoint is None:
            return
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        if outcome.status == 421:
            endpoint.is_wrong = True
        elif outcome.end is End.PASSED:
            self._record_success(now, endpoint, route, latency)
        elif outcome.end is End.CANCELLED:
            self._record_cancelled(now, endpoint, route, outcome, latency)
        elif outcome.end is not End.UNSENT:
            _record_failure(now, endpoint, outcome)

    def _record_success(self, now: float, endpoint: Endpoint, route: Route, latency: float) -> None:
        usual = self.usual_latency(now, route)
        endpoint.slowness.add(now, min(MAX_SLOWNESS, latency / max(usual, 0.001)))
        self._latency.setdefault(route.name, Mean(LATENCY_TAU, now, usual, 2.0)).add(now, latency)
        endpoint.failures = 0

    def _record_cancelled(self, now: float, endpoint: Endpoint, route: Route, outcome: Outcome, latency: float) -> None:
        """Given up before its end: all that it shows is that an answer takes longer than that."""
        slowness = min(MAX_SLOWNESS, latency / max(self.usual_latency(now, route), 0.001))
        if outcome.sent and slowness > endpoint.slowness.read(now):
            endpoint.slowness.add(now, slowness)

    def attempt_overdue(self, now: float, id: str) -> None:
        """A request is in flight there for far longer than usual."""
        endpoint = self.endpoints.get(id)
        if endpoint is not None:
            endpoint.slowness.add(now, FAILURE_SLOWNESS)


def _is_another(before: Worker, listed: Worker) -> bool:
    """Does the id stand for another worker by now?"""
    return before.address != listed.address or before.service != listed.service


def _record_failure(now: float, endpoint: Endpoint, outcome: Outcome) -> None:
    endpoint.slowness.add(now, FAILURE_SLOWNESS)
    endpoint.failures += outcome.end is not End.ERROR or outcome.status == 0
    if endpoint.failures >= EJECT_AFTER or outcome.end is End.NO_CONNECTION:
        doublings = min(MAX_EJECTION_DOUBLINGS, max(0, endpoint.failures - EJECT_AFTER))
        endpoint.ejected_until = now + min(MAX_EJECTION, EJECTION * 2**doublings)
