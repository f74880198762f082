"""Quotas, budgets and cold workers over many gateways: what the sum of all must never pass, each keeping its part."""

import random
from types import SimpleNamespace

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common.messages import NO_VERSION, GatewayAddress, Service, Tenant, Worker
from fernyard.cluster.data_plane.counter import CounterTable
from fernyard.cluster.data_plane.endpoints import EndpointSelector
from fernyard.cluster.data_plane.quota import QuotaClient
from fernyard.cluster.data_plane.retry_budget import RetryBudget
from fernyard.cluster.data_plane.usage import bucket_of

BOUND_WINDOW, EXCESS, SLACK = 5.0, 0.1, 20.0


def most_in(times, window):
    """The most of the times that fall in one sliding window."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most


class Fleet:
    """Proxies, one counter, a delay between them; the counter may be silent, or lose what it holds."""

    def __init__(self, count, delay, seed=1):
        self.counter, self.delay, self.random = CounterTable("c", 1), delay, random.Random(seed)
        self.proxies = [QuotaClient(f"n{number}", number) for number in range(count)]
        self.post, self.passed, self.refused = [], [], 0

    def play(self, tenant, rate, seconds, silent=(0, 0), lost_at=None, skew=0.0):
        now, step, silent_from, silent_to = 0.0, 0.002, *silent
        while now < seconds:
            now += step
            if lost_at is not None and now >= lost_at:
                self.counter, lost_at = CounterTable("c", 2), None
            quiet = silent_from <= now < silent_to
            for _ in range(int(rate * step + self.random.random())):
                number = 0 if self.random.random() < skew else self.random.randrange(len(self.proxies))
                proxy = self.proxies[number]
                count, wait = proxy.request_add(now, tenant, "c", NO_VERSION, None)
                if not quiet:
                    self.post.append((now + self.delay, "count", proxy, count))
                self.post.append((now + wait, "late", proxy, count, wait))
            due = sorted((item for item in self.post if item[0] <= now), key=lambda item: item[0])
            self.post = [item for item in self.post if item[0] > now]
            for at, kind, proxy, message, *more in due:
                if kind == "count":
                    total = self.counter.add(now, message, NO_VERSION)
                    if not quiet:
                        self.post.append((now + self.delay, "total", proxy, total))
                elif kind == "total":
                    if proxy.match(now, message) is not None:
                        self._decide(now, proxy, tenant, proxy.fits(now, tenant, message), True)
                elif message.request_id in proxy.pending:
                    proxy.timed_out(message.request_id, "c")
                    fits = proxy.fits_locally(now, tenant, len(self.proxies))
                    self._decide(now, proxy, tenant, fits, True)

    def _decide(self, now, proxy, tenant, fits, counted):
        if fits:
            proxy.admitted(now, tenant, counted)
            self.passed.append(now)
        else:
            self.refused += 1


class TestQuota(testtools.TestCase):
    def test_never_past_the_bound(self):
        """(rate, burst, asked a second, proxies, delay, what happens): the most in 5 s, over all, stays below the bound."""
        cases = (
            (100, 100, 600, 9, 0.055, {}),
            (100, 100, 600, 9, 0.001, {}),
            (100, 0, 600, 9, 0.055, {}),
            (20, 100, 300, 9, 0.055, {}),
            (5, 5, 200, 9, 0.055, {}),
            (1, 1, 50, 4, 0.02, {}),
            (100, 100, 600, 9, 0.055, {"silent": (3, 6)}),
            (100, 100, 600, 9, 0.055, {"lost_at": 4.0}),
            (100, 100, 600, 3, 0.055, {"silent": (3, 9), "skew": 0.5}),
            (60, 60, 400, 30, 0.03, {"lost_at": 5.1}),
        )
        for rate, burst, asked, proxies, delay, happens in cases:
            fleet = Fleet(proxies, delay)
            fleet.play(Tenant("t", None, rate, burst, []), asked, 12.0, **happens)
            most = most_in(fleet.passed, BOUND_WINDOW)
            bound = (rate * BOUND_WINDOW + burst) * (1 + EXCESS) + SLACK
            self.assertTrue(most <= bound, (rate, burst, proxies, happens, most, bound))

    def test_what_fits_is_let_past(self):
        """Below the limit nothing is refused, past it the rate is used: a bound is not bought with refusals."""
        for rate, burst, asked, least in (
            (100, 100, 60, 1.0),
            (100, 100, 500, 0.9),
            (20, 60, 12, 1.0),
            (8, 8, 60, 0.85),
        ):
            fleet = Fleet(9, 0.055)
            fleet.play(Tenant("t", None, rate, burst, []), asked, 12.0)
            owed = min(asked * 12.0, rate * 12.0)
            self.assertTrue(len(fleet.passed) >= least * owed * 0.97, (rate, asked, len(fleet.passed), owed))

    def test_fresh_counter_learns_what_was_let_past(self):
        """A counter that lost all holds at once what each proxy tells with its first add."""
        fleet, tenant = Fleet(4, 0.01), Tenant("t", None, 100, 100, [])
        fleet.play(tenant, 90, 3.0)
        fleet.counter = CounterTable("c", 2)
        for proxy in fleet.proxies:
            count, _ = proxy.request_add(3.0, tenant, "c", NO_VERSION, None)
            total = fleet.counter.add(3.0, count, NO_VERSION)
        self.assertTrue(total.previous > 60, total)

    def test_units_past_the_limit_are_not_kept(self):
        counter, quota = CounterTable("c", 1), QuotaClient("n", 1)
        tenant = Tenant("t", None, 4, 4, [])
        totals = []
        for _ in range(40):
            count, _ = quota.request_add(0.0, tenant, "c", NO_VERSION, None)
            totals.append(counter.add(0.0, count, NO_VERSION).current)
        self.assertThat(max(totals), Equals(totals[-1]))
        self.assertTrue(totals[-1] <= bucket_of(4, 4).limit + 1.0)


class TestBudget(testtools.TestCase):
    def test_sum_of_all_stays_below(self):
        ratio, window, slack, gateways = 0.2, 10.0, 58.0, 9
        chance = random.Random(5)
        budgets = [RetryBudget(ratio, window, slack) for _ in range(gateways)]
        requests, repeats, now = [], [], 0.0
        while now < 40.0:
            now += 0.005
            budget = chance.choice(budgets)
            budget.add_request(now)
            requests.append(now)
            if budget.allows_retry(now, gateways):  # every request would go again
                budget.add_retry(now)
                repeats.append(now)
        for at in repeats:
            used = sum(1 for t in repeats if at - window < t <= at)
            owed = sum(1 for t in requests if at - window < t <= at)
            self.assertTrue(used <= ratio * owed + slack)


class TestCold(testtools.TestCase):
    def test_sum_of_all_in_any_second(self):
        """Many gateways that all want one cold worker, with their number changing on the way."""
        for gateways, rate in ((1, 12.0), (3, 12.0), (9, 12.0), (71, 10.0), (86, 10.0)):
            chance, sent, now = random.Random(3), [], 0.0
            service = Service("s", 30.0, rate, 100)
            route = SimpleNamespace(name="r", target=1.0, kind="idempotent")
            fleet = [
                EndpointSelector(f"n{number}", "z", "r", {"z": "r"}, random.Random(number))
                for number in range(gateways)
            ]
            registry = {"w1": Worker("w1", "s", "a:1", "z", 6, False, 1e9)}
            all_gateways = {
                f"n{number}": GatewayAddress(f"n{number}", "", "z", "r", "", True) for number in range(gateways)
            }
            some = {
                node: gateway
                for number, (node, gateway) in enumerate(all_gateways.items())
                if number % 3 or gateways < 4
            }
            for workers in fleet:
                workers.update_registry(0.0, registry, all_gateways)
            changed = False
            while now < 12.0:
                now += 0.002
                if not changed and now > 6.0:
                    for workers in fleet[::2]:  # half of them have heard that some are gone
                        workers.update_registry(now, registry, some)
                    changed = True
                workers = chance.choice(fleet)
                worker = workers.choose(now, service, route, None, (), 1.0)
                if worker is not None:
                    workers.attempt_began(now, worker, service)
                    worker.in_flight -= 1
                    sent.append(now)
            most = most_in(sent, 1.0)
            self.assertTrue(0 < most <= rate * 1.5 + 5, (gateways, most))
            self.assertTrue(len(sent) > 12 * rate * 0.1, (gateways, len(sent)))


class TestShared(testtools.TestCase):
    def test_many_that_share_workers_do_not_all_jam_the_best(self):
        """Ten gateways of a zone know the same three of sixteen workers as quick: those must not get most of all."""
        service, route = Service("s", 3.0, 12.0, 100), SimpleNamespace(name="r", target=1.0, kind="idempotent")
        registry = {f"w{number}": Worker(f"w{number}", "s", "a:1", "z", 3, False) for number in range(16)}
        gateways = {f"n{number}": GatewayAddress(f"n{number}", "", "z", "r", "", True) for number in range(10)}
        got = dict.fromkeys(registry, 0)
        for number in range(10):
            workers = EndpointSelector(f"n{number}", "z", "r", {"z": "r"}, random.Random(number))
            workers.update_registry(0.0, registry, gateways)
            for name in ("w0", "w1", "w2"):
                for _ in range(8):
                    workers.endpoints[name].slowness.add(0.0, 0.7)
            for _ in range(40):
                worker = workers.choose(0.0, service, route, None, (), 1.0)
                got[worker.listed.id] += 1
        self.assertTrue(max(got.values()) <= 3.0 * 400 / 16, got)  # best of all: above 5 times
        self.assertTrue(min(got.values()) >= 5, got)
