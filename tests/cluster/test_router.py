"""The ordinary path of a request: a table of requests with what the workers did and what the client must get."""

from types import SimpleNamespace

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common.messages import (
    NO_VERSION,
    ConfigurationUpdate,
    GatewayAddress,
    Plan,
    RegistryUpdate,
    Route,
    Service,
    Tenant,
    Total,
    Worker,
)
from fernyard.cluster.data_plane import commands, events
from fernyard.cluster.data_plane.router import RequestRouter
from fernyard.interface import End
from fernyard.workers import Outcome


def route(name, prefix, kind="idempotent", **fields):
    return Route(
        name,
        prefix,
        kind,
        fields.get("timeout", 3.0),
        0.8,
        1,
        fields.get("split", [("s", 1.0)]),
        fields.get("tries", 2),
        fields.get("public", False),
        fields.get("homes", []),
    )


def plan(version=5, **fields):
    return Plan(
        f"{version:08x}-1",
        [Service("s", 3.0, 12.0, 100), Service("other", 3.0, 12.0, 100)],
        fields.get(
            "hosts",
            {
                "h.example": [
                    route("read", "/r/"),
                    route("deep", "/r/deep/", split=[("other", 1.0)]),
                    route("write", "/w/", "mutating"),
                    route("open", "/o/", public=True),
                    route("home", "/h/", homes=["r2"]),
                    route("once", "/once/", tries=1),
                ]
            },
        ),
        [Tenant("free", None, 0, 0, []), Tenant("few", None, 2.0, 2.0, []), Tenant("homed", None, 0, 0, ["r1"])],
        fields.get("keys", {"k-free": 0, "k-few": 1, "k-homed": 2}),
        True,
        16384,
        1000,
        3.0,
        15.0,
    )


def settings():
    return SimpleNamespace(
        node="n1",
        zone="z1",
        region="r1",
        zones={"z1": "r1", "z2": "r1", "z3": "r2"},
        bound=lambda name, default: default,
    )


WORKERS = {
    name: Worker(name, service, f"10.0.0.{number}:1", zone, 4, False, 0.0)
    for number, (name, service, zone) in enumerate(
        (("w1", "s", "z1"), ("w2", "s", "z1"), ("w3", "s", "z3"), ("o1", "other", "z1"))
    )
}
GATEWAYS = {"n1": GatewayAddress("n1", "ip1", "z1", "r1", "n1:80", True)}


class Bench:
    """One router with news; `ask` gives a request, `end` tells how its last dispatch ended."""

    def __init__(self, workers=WORKERS, gateways=GATEWAYS, **fields):
        self.now, self.number, self.executed = 10.0, 0, []
        self.router = RequestRouter(self.now, settings(), 1)
        self.handle(events.ConfigurationChanged(ConfigurationUpdate(1, plan(**fields), [])))
        self.handle(events.RegistryChanged(RegistryUpdate(NO_VERSION, (1, 1), dict(workers), dict(gateways), self.now)))

    def handle(self, event):
        returned = self.router.step(self.now, event)
        self.executed += returned
        for command in returned:
            if type(command) is commands.SendCount and command.ip is None:
                count = command.count
                self.handle(
                    events.CountAnswered(
                        Total(
                            count.request_id,
                            count.incarnation,
                            count.counter,
                            1,
                            0.0,
                            self.counted(count),
                            1.0,
                            NO_VERSION,
                        )
                    )
                )
        return returned

    def counted(self, count):
        return 1.0

    def arrive(self, path="/r/x", key="k-free", host="h.example", left=3.0):
        self.number += 1
        self.handle(events.RequestArrived(self.number, "GET", host, path, key, left))
        return self.number

    def sends(self, number):
        return [
            command
            for command in self.executed
            if type(command) is commands.ForwardRequest and command.number == number
        ]

    def end(self, number, end, status=0):
        send = self.sends(number)[-1]
        self.handle(Outcome(number, send.attempt, send.worker, end, 100, b"x", (), status))

    def final(self, number):
        """The status that the client got, or None yet; never two."""
        answers = [
            command.status if type(command) is commands.AnswerRequest else command.outcome.status
            for command in self.executed
            if type(command) in (commands.AnswerRequest, commands.RelayAnswer) and command.number == number
        ]
        if len(answers) > 1:
            raise AssertionError(f"answered twice: {answers}")
        return answers[0] if answers else None

    def later(self, seconds):
        self.now += seconds
        self.handle(events.Tick())


# Where a request goes: (path, key, host) -> services it may be sent to, or the status it gets at once.
ROUTED = {
    ("/r/x", "k-free", "h.example"): "s",
    ("/r/deep/x", "k-free", "h.example"): "other",
    ("/r/deep", "k-free", "h.example"): "s",
    ("/r/x?y=/w/", "k-free", "H.example:80"): "s",
    ("/nowhere", "k-free", "h.example"): 404,
    ("/r/x", "k-free", "else.example"): 404,
    ("/r/x", "nobody", "h.example"): 401,
    ("/r/x", None, "h.example"): 401,
    ("/o/x", None, "h.example"): "s",
}
# What the workers do in turn -> the client's status, and how many were sent.
ENDED = {
    ("read", "passed"): ([(End.PASSED, 200)], 200, 1),
    ("read", "reset, then passed"): ([(End.RESET, 0), (End.PASSED, 200)], 200, 2),
    ("read", "500, then 500 goes as it came"): ([(End.ERROR, 500), (End.ERROR, 500)], 500, 2),
    ("read", "full twice"): ([(End.FULL, 503), (End.FULL, 503)], 503, 2),
    ("write", "full, then passed"): ([(End.FULL, 503), (End.PASSED, 200)], 200, 2),
    ("write", "reset: it may have run"): ([(End.RESET, 0)], 502, 1),
    ("write", "its own 500"): ([(End.ERROR, 500)], 500, 1),
    ("write", "a 503 that does not say that it never ran"): ([(End.ERROR, 503)], 502, 1),
    ("write", "full, then reset"): ([(End.FULL, 503), (End.RESET, 0)], 502, 2),
    ("write", "wrong worker, then passed"): ([(End.FULL, 421), (End.PASSED, 200)], 200, 2),
    ("write", "never up, never up, passed"): (
        [(End.NO_CONNECTION, 0), (End.NO_CONNECTION, 0), (End.PASSED, 200)],
        200,
        3,
    ),
    ("once", "one try alone"): ([(End.RESET, 0)], 502, 1),
}
PATHS = {"read": "/r/x", "write": "/w/x", "once": "/once/x"}


class TestPath(testtools.TestCase):
    def test_routed(self):
        for (path, key, host), wanted in ROUTED.items():
            bench = Bench()
            number = bench.arrive(path, key, host)
            sends = bench.sends(number)
            told = WORKERS[sends[0].worker].service if sends else bench.final(number)
            self.assertThat(told, Equals(wanted), (path, key, host))

    def test_ended(self):
        for (name, told), (outcomes, status, sent) in ENDED.items():
            bench = Bench()
            number = bench.arrive(PATHS[name])
            for end, answered in outcomes:
                bench.end(number, end, answered)
            self.assertThat((bench.final(number), len(bench.sends(number))), Equals((status, sent)), (name, told))
            self.assertThat(bench.router.requests, Equals({}), (name, told))

    def test_a_worker_is_asked_once_by_one_request(self):
        bench = Bench()
        number = bench.arrive()
        bench.end(number, End.RESET)
        self.assertThat(len({send.worker for send in bench.sends(number)}), Equals(2))

    def test_homes_of_route_and_tenant_both_bind(self):
        for path, key, wanted in (("/h/x", "k-free", "w3"), ("/h/x", "k-homed", 503)):
            bench = Bench()
            number = bench.arrive(path, key)
            sends = bench.sends(number)
            self.assertThat(sends[0].worker if sends else bench.final(number), Equals(wanted), (path, key))

    def test_near_first(self):
        bench = Bench()
        for _ in range(4):
            self.assertIn(bench.sends(bench.arrive())[0].worker, ("w1", "w2"))

    def test_nothing_goes_to_draining_evacuated_or_cold_beyond_its_part(self):
        for case in "draining", "evacuated", "cold":
            workers = {
                name: Worker(
                    name, "s", f"10.0.0.{name[1]}:1", "z1", 4, case == "draining", 1e9 if case == "cold" else 0.0
                )
                for name in ("w1", "w2")
            }
            bench = Bench(workers)
            if case == "evacuated":
                bench.handle(events.ConfigurationChanged(ConfigurationUpdate(2, None, ["z1"])))
            sent = sum(bool(bench.sends(bench.arrive())) for _ in range(20))
            self.assertTrue(sent <= (2 if case == "cold" else 0), (case, sent))

    def test_taken_back_zone_is_cold_at_first(self):
        bench = Bench({name: WORKERS[name] for name in ("w1", "w2")})
        bench.handle(events.ConfigurationChanged(ConfigurationUpdate(2, None, ["z1"])))
        bench.now += 20.0
        bench.handle(events.ConfigurationChanged(ConfigurationUpdate(3, None, [])))
        sent = sum(bool(bench.sends(bench.arrive())) for _ in range(20))
        self.assertTrue(0 < sent <= 2, sent)
        bench.now += 10.0
        self.assertTrue(bench.sends(bench.arrive()))

    def test_a_dark_worker_costs_a_repeatable_request_some_usual_times_not_its_deadline(self):
        bench = Bench()
        number = bench.arrive()
        bench.later(1.0)
        self.assertThat(len(bench.sends(number)), Equals(2))
        bench.end(number, End.PASSED, 200)
        self.assertThat(bench.final(number), Equals(200))
        mutating = bench.arrive("/w/x")
        bench.later(2.0)
        self.assertThat(len(bench.sends(mutating)), Equals(1))

    def test_a_second_answer_after_the_first_is_nobodys(self):
        bench = Bench()
        number = bench.arrive()
        bench.later(1.0)
        first, second = bench.sends(number)
        bench.handle(Outcome(number, first.attempt, first.worker, End.PASSED, 100, b"x", (), 200))
        bench.handle(Outcome(number, second.attempt, second.worker, End.PASSED, 100, b"y", (), 200))
        self.assertThat(bench.final(number), Equals(200))
        self.assertThat(bench.router.requests, Equals({}))

    def test_never_back_to_an_older_configuration(self):
        bench = Bench()
        bench.handle(events.ConfigurationChanged(ConfigurationUpdate(9, plan(9, hosts={"h.example": []}), [])))
        bench.handle(events.ConfigurationChanged(ConfigurationUpdate(7, plan(7), [])))
        self.assertThat(bench.final(bench.arrive()), Equals(404))

    def test_before_any_configuration_nobody_is_told_404(self):
        router = RequestRouter(0.0, settings(), 1)
        orders = router.step(0.0, events.RequestArrived(1, "GET", "h.example", "/r/x", None, 3.0))
        self.assertThat(orders[0].status, Equals(503))
        self.assertFalse(router.serves)

    def test_quota_refuses_past_the_limit_with_a_time(self):
        bench = Bench()
        bench.counted = lambda count: count.limit + 1.0
        number = bench.arrive(key="k-few")
        answer = bench.executed[-1]
        self.assertThat((bench.final(number), answer.retry_after > 0), Equals((429, True)))

    def test_what_never_ran_gives_its_unit_back(self):
        """After a restart of all, clients that were told 503 used up their tenants' quotas with requests that never ran."""
        bench = Bench()
        told = []
        bench.counted = lambda count: told.append(count.owed) or 1.0
        number = bench.arrive("/w/x", "k-few")
        bench.end(number, End.FULL, 503)
        bench.end(number, End.FULL, 503)
        self.assertThat(bench.final(number), Equals(503))
        bench.arrive("/r/x", "k-few")
        self.assertThat(told, Equals([0.0, -1.0]))

    def test_silent_counter(self):
        """Far away and silent: after the wait our part of the limit decides, and no more than that is let past."""
        gateways = {
            f"n{number}": GatewayAddress(f"n{number}", f"ip{number}", "z2", "r1", "", True) for number in range(2, 6)
        }
        bench = Bench(gateways=gateways)
        numbers = [bench.arrive(key="k-few") for _ in range(12)]
        self.assertThat([bench.final(number) for number in numbers], Equals([None] * 12))
        bench.later(0.5)
        sent = sum(bool(bench.sends(number)) for number in numbers)
        self.assertTrue(1 <= sent <= 2, sent)
        self.assertThat([bench.final(number) for number in numbers].count(429), Equals(12 - sent))
