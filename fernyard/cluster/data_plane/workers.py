"""Which worker a request goes to: near while near is not busy, never past what a cold one bears. Free of I/O."""

from ...estimate import Mean
from ...interface import End
from ..common import rendezvous

# Failures in a row that bench a worker; how long first, at most; after a reset one alone is enough when none answered.
BENCH_AFTER, BENCH, LONGEST_BENCH = 2, 0.4, 3.0
SLOW_TAU, WORK_TAU, FAILED_AS = 6.0, 8.0, 3.0  # seconds; a failure weighs as an answer so many times slow
GUESS = 0.2  # of a route's target, until answers tell the usual time
AWAY, BEST, CHANCE = (0.0, 0.35, 2.5), 0.75, 0.02  # cost in usual times of tiers; the least without it; of chance
HEAVY_AWAY = 4.0  # so many times that cost, for large answers
FILL, QUEUE = 0.75, 2.0  # of the places: from where one more waits; most out, in places
COLD_SENDERS, COLD_PART = 3, 0.55  # gateways that send to a cold worker; of what it bears
COLD_MARGIN = 1.0  # seconds past the end of a spell that was told
REMEMBERED, FEWEST_DRAWN = 200, 2


class Worker:
    """One incarnation of a worker, as outcomes here have told of it."""

    def __init__(self, now, told, region, random):
        self.told, self.region, self.out, self.run, self.benched = told, region, 0, 0, 0.0
        self.slow, self.credit, self.credit_at = Mean(SLOW_TAU, now, 1.0, 2.0), 0.0, now
        self.cold_until, self.wrong, self.chance = told.cold_until, False, random.random()


class Workers:
    def __init__(self, node, zone, region, zones, random):
        self.node, self.zone, self.region, self.zones, self.random = node, zone, region, zones, random
        self.known, self.services, self.usual = {}, {}, {}
        self.evacuated, self.back_at, self.gateways, self.senders, self.sharers = set(), {}, {}, {}, 1

    def _tier(self, worker):
        """0 in our zone, 1 in our region, 2 elsewhere."""
        return 0 if worker.told.zone == self.zone else 1 if worker.region == self.region else 2

    # What is told ----------------------------------------------------------------------------------------------------

    def registry(self, now, workers, gateways):
        """The workers and gateways there are."""
        known = {}
        for id, told in workers.items():
            worker = self.known.get(id)
            if worker is None or worker.told.address != told.address or worker.told.service != told.service:
                worker = Worker(now, told, self.zones.get(told.zone), self.random)
            worker.told = told
            worker.cold_until = max(worker.cold_until, told.cold_until)
            known[id] = worker
        self.known, self.services = known, {}
        for worker in known.values():
            self.services.setdefault(worker.told.service, ([], [], []))[self._tier(worker)].append(worker)
        if gateways.keys() != self.gateways.keys():
            self.senders = {}
        self.gateways, self.sharers = gateways, sum(gateway.zone == self.zone for gateway in gateways.values())

    def zones_told(self, now, evacuated):
        """`evacuated`: the zones that nothing may go to. Taken back, their workers may be cold, unknown to any list."""
        for zone in sorted(self.evacuated.difference(evacuated)):
            self.back_at[zone] = now
        self.evacuated = set(evacuated)

    # Choice ----------------------------------------------------------------------------------------------------------

    def usual_of(self, now, route):
        usual = self.usual.get(route.name)
        return GUESS * route.target if usual is None else usual.read(now)

    def choose(self, now, service, route, homes, tried, most):
        """The worker that is to get the request, or None; `most`: seconds that it may wait there."""
        usual = self.usual_of(now, route)
        best, best_cost = None, None
        for tier, workers in enumerate(self.services.get(service.name, ())):
            away = AWAY[tier] * (HEAVY_AWAY if route.kind == "egress" else 1.0)
            if best is not None and best_cost < away + BEST:
                break  # none further away can be better
            best, best_cost = self._best(now, workers, away, service, homes, tried, most / usual, best, best_cost)
        return best

    def _best(self, now, workers, away, service, homes, tried, most, best, best_cost):
        """The best of `workers` and its cost, or what was the best before them."""
        fit = []
        for worker in workers:
            told = worker.told
            if told.draining or worker.wrong or told.id in tried or told.zone in self.evacuated or now < worker.benched:
                continue
            if homes is not None and worker.region not in homes:
                continue
            if (
                worker.out >= QUEUE * told.capacity
                or self._cold(now, worker, service)
                and not self._warms(now, worker, service)
            ):
                continue
            fit.append(worker)
        # Where many share the workers each sees little of what is out there, and the ones that all think best are the ones
        # that all jam: then the best of a few drawn by chance.
        drawn = max(FEWEST_DRAWN, -(-len(fit) // max(1, self.sharers)))
        for worker in fit if len(fit) <= drawn else self.random.sample(fit, drawn):
            wait = self._wait(worker)
            cost = worker.slow.read(now) * (1.0 + 2.0 * wait + worker.out / max(1, worker.told.capacity)) + away
            cost += CHANCE * self.random.random()
            if (best is None or cost < best_cost) and wait <= most:
                best, best_cost = worker, cost
        return best, best_cost

    def _wait(self, worker):
        """Usual times that a request waits there for a place, by what is out from here."""
        places = max(1.0, FILL * worker.told.capacity)
        return max(0.0, worker.out + 1 - places) / places

    def _cold(self, now, worker, service):
        back = self.back_at.get(worker.told.zone)
        return now < worker.cold_until or back is not None and now < back + service.cold_s + COLD_MARGIN

    def _warms(self, now, worker, service):
        """May one more go to a cold worker? A few gateways, named by rendezvous, near ones first, share what it
        bears: their sum stays below it even while two sets of them are named at once."""
        if not service.cold_rate:
            return True
        if self.node not in self._senders(worker):
            return False
        rate = COLD_PART * service.cold_rate / COLD_SENDERS
        worker.credit = min(1.0, worker.credit + rate * (now - worker.credit_at))
        worker.credit_at = now
        return worker.credit >= 1.0

    def _senders(self, worker):
        named = self.senders.get(worker.told.id)
        if named is None:
            near = [node for node, gateway in self.gateways.items() if gateway.zone == worker.told.zone]
            region = [
                node
                for node, gateway in self.gateways.items()
                if gateway.region == worker.region and gateway.zone != worker.told.zone
            ]
            named = rendezvous.top(worker.told.id, near, COLD_SENDERS)
            named += rendezvous.top(worker.told.id, region, COLD_SENDERS - len(named))
            rest = [node for node in self.gateways if node not in named]
            named += rendezvous.top(worker.told.id, rest, COLD_SENDERS - len(named))
            if len(self.senders) > REMEMBERED:
                self.senders.clear()
            self.senders[worker.told.id] = named
        return named

    # What came of it -------------------------------------------------------------------------------------------------

    def sent(self, now, worker, service):
        worker.out += 1
        if self._cold(now, worker, service):
            worker.credit -= 1.0

    def ended(self, now, id, route, outcome, took):
        worker = self.known.get(id)
        if worker is None:
            return
        worker.out = max(0, worker.out - 1)
        end = outcome.end
        if outcome.status == 421:
            worker.wrong = True  # its address belongs to another by now
        elif end is End.PASSED:
            usual = self.usual_of(now, route)
            worker.slow.add(now, min(8.0, took / max(usual, 0.001)))
            self.usual.setdefault(route.name, Mean(WORK_TAU, now, usual, 2.0)).add(now, took)
            worker.run = 0
        elif end not in (End.CANCELLED, End.UNSENT):
            worker.slow.add(now, FAILED_AS)
            worker.run += end is not End.ERROR or outcome.status == 0
            if worker.run >= BENCH_AFTER or end is End.NO_CONNECTION:
                worker.benched = now + min(LONGEST_BENCH, BENCH * 2 ** min(4, max(0, worker.run - BENCH_AFTER)))

    def overlong(self, now, id):
        """A request is out there for far longer than usual."""
        worker = self.known.get(id)
        if worker is not None:
            worker.slow.add(now, FAILED_AS)
