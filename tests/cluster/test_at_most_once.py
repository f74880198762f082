"""A request that may not be repeated runs at most once, and a status that promises that it has not run keeps its word.
All states of one request by all events, then random runs against modelled workers that count runs by request."""

from random import Random
from unittest import mock

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common.messages import (
    NO_VERSION,
    ConfigurationUpdate,
    GatewayAddress,
    RegistryUpdate,
    Total,
    Worker,
)
from fernyard.cluster.data_plane import commands, events, router as router_module
from fernyard.cluster.data_plane.router import PROMISES, RequestRouter
from fernyard.interface import End
from fernyard.workers import Outcome

from .guards import assert_each_is_needed
from .test_router import WORKERS, Bench, plan, route

FAR = {f"n{n}": GatewayAddress(f"n{n}", f"ip{n}", "z2", "r1", "", True) for n in range(2, 5)}
RUNS, STEPS = 2000, 60


def configured(version, **kinds):
    hosts = {"h.example": [route(name, f"/{name}/", kind) for name, kind in kinds.items()]}
    return events.ConfigurationChanged(ConfigurationUpdate(version, plan(version, hosts=hosts), []))


def ended(end, status=0, sent=True, which=-1):
    """The last attempt of the request ends so, or the one before it again."""

    def apply(bench, number):
        sends = bench.sends(number)
        if sends:
            send = sends[which]
            bench.handle(Outcome(number, send.attempt, send.worker, end, 100, b"x", (), status, sent))

    return apply


def sending(event):
    return lambda bench, number: bench.handle(event(number))


def reused(bench, number):
    """Every worker is gone, and another service's stand at their addresses."""
    workers = dict.fromkeys(WORKERS) | {
        f"new-{n}": Worker(n, "other", w.address, "z1", 4, False) for n, w in WORKERS.items()
    }
    bench.handle(events.RegistryChanged(RegistryUpdate((1, 1), (1, 2), workers, {}, bench.now)))


EVENTS = {
    "success": ended(End.PASSED, 200),
    "500": ended(End.ERROR, 500),
    "503 without Not-Run": ended(End.ERROR, 503),
    "408": ended(End.ERROR, 408),
    "Not-Run": ended(End.FULL, 503),
    "421": ended(End.FULL, 421),
    "reset, cut or foreign": ended(End.RESET),
    "silence": ended(End.TIMEOUT),
    "time up before a connection": ended(End.TIMEOUT, sent=False),
    "cancelled": ended(End.CANCELLED),
    "no connection": ended(End.NO_CONNECTION),
    "not written": ended(End.UNSENT),
    "an outcome that came before": ended(End.FULL, 503, which=0),
    "an outcome of no attempt": sending(lambda n: Outcome(n, 99, "w1", End.PASSED, 1, b"", (), 200)),
    "client gone": sending(events.ClientGone),
    "thawed after 3 s": lambda bench, number: bench.later(3.1),
    "kind changed": sending(lambda n: configured(9, w="idempotent")),
    "route dropped": sending(lambda n: configured(9)),
    "workers' addresses reused": reused,
    "a foreign total": sending(lambda n: events.CountAnswered(Total(1, 99, 0, 0, 0.0, 0.0, 1.0, NO_VERSION))),
}


def counting(bench):
    return bench.arrive("/w/x", "k-few")


def out(bench):
    return bench.arrive("/w/x")


def out_again(bench):
    number = bench.arrive("/w/x")
    bench.end(number, End.FULL, 503)
    return number


def gone(bench):
    number = bench.arrive("/w/x")
    bench.handle(events.ClientGone(number))
    return number


def answered(bench):
    number = bench.arrive("/w/x")
    bench.end(number, End.PASSED, 200)
    return number


def failed(bench):
    number = bench.arrive("/w/x")
    bench.end(number, End.RESET)
    return number


ENDS_IT = {
    "success": 200,
    "500": 500,
    "503 without Not-Run": 502,
    "408": 502,
    "reset, cut or foreign": 502,
    "silence": 502,
    "cancelled": 502,
}
GOES_AGAIN = ("Not-Run", "421", "time up before a connection", "no connection", "not written")
# State -> how to come there, attempts so far, the client's status so far, and for the events that change something the
# same two afterwards.
STATES = {
    "not sent": (counting, 0, None, {"thawed after 3 s": (0, 503)}),
    "sent": (
        out,
        1,
        None,
        {name: (1, status) for name, status in ENDS_IT.items()}
        | {name: (2, None) for name in (*GOES_AGAIN, "an outcome that came before")},
    ),
    "sent again after Not-Run": (
        out_again,
        2,
        None,
        {name: (2, status) for name, status in ENDS_IT.items()}
        | dict.fromkeys(GOES_AGAIN, (2, 503)),  # the budget for further tries is used up
    ),
    "sent, its client gone": (gone, 1, None, {}),
    "answered": (answered, 1, 200, {}),
    "may have run": (failed, 1, 502, {}),
}


class TestStates(testtools.TestCase):
    def test_all_states_by_all_events(self):
        for state, (come_to, sends, status, changes) in STATES.items():
            for name, event in EVENTS.items():
                bench = Bench(gateways=FAR)
                number = come_to(bench)
                self.assertThat((len(bench.sends(number)), bench.final(number)), Equals((sends, status)), state)
                event(bench, number)
                after = len(bench.sends(number)), bench.final(number)
                self.assertThat(after, Equals(changes.get(name, (sends, status))), (state, name))

    def test_a_kind_that_changes_under_way(self):
        """(kind when taken, kind when it fails, the failure) -> attempts: never more of what may not be repeated."""
        for before, since, event, sends in (
            ("idempotent", "idempotent", "reset, cut or foreign", 2),
            ("idempotent", "mutating", "reset, cut or foreign", 1),
            ("idempotent", "mutating", "thawed after 1 s", 1),
            ("idempotent", "idempotent", "thawed after 1 s", 2),
            ("idempotent", "mutating", "Not-Run", 2),
            ("mutating", "idempotent", "reset, cut or foreign", 1),
            ("mutating", "idempotent", "Not-Run", 2),
            ("egress", "none yet known", "reset, cut or foreign", 1),
            ("none yet known", "egress", "reset, cut or foreign", 1),
        ):
            bench = Bench(hosts={"h.example": [route("w", "/w/", before)]})
            number = bench.arrive("/w/x")
            bench.handle(configured(9, w=since))
            EVENTS.get(event, lambda bench, number: bench.later(1.0))(bench, number)
            self.assertThat(len(bench.sends(number)), Equals(sends), (before, since, event))


class World:
    """A router, clients, and workers that run requests or not and say so or not."""

    KINDS = "idempotent", "mutating"
    # What a worker may do: (it runs the request now, it may run it later, how the attempt ends, status, it was sent).
    FATES = (
        (True, False, End.PASSED, 200, True),
        (True, False, End.ERROR, 500, True),
        (True, False, End.ERROR, 503, True),
        (True, False, End.ERROR, 429, True),
        (True, False, End.RESET, 0, True),
        (False, True, End.RESET, 0, True),
        (False, True, End.TIMEOUT, 0, True),
        (False, False, End.TIMEOUT, 0, False),
        (False, True, End.CANCELLED, 0, True),
        (False, False, End.FULL, 503, True),
        (False, False, End.FULL, 421, True),
        (False, False, End.NO_CONNECTION, 0, True),
    )

    def __init__(self, seed):
        self.random, self.bench, self.version = Random(seed), Bench(), 5
        self.runs, self.once, self.sent_once, self.name_of = {}, set(), set(), {}
        self.later, self.over, self.seen = [], [], 0
        self.kinds = dict.fromkeys("ab", "idempotent")
        self.configure()

    def configure(self):
        self.version += 1
        self.kinds = {name: self.random.choice(self.KINDS) for name in "ab"}
        self.bench.handle(configured(self.version, **self.kinds))

    def record_forwards(self):
        """Attempts that went out while the route was of the kind that may not be repeated."""
        for command in self.bench.executed[self.seen :]:
            if type(command) is commands.ForwardRequest and self.kinds[self.name_of[command.number]] == "mutating":
                self.sent_once.add((command.number, command.attempt))
        self.seen = len(self.bench.executed)

    def arrive(self):
        name = self.random.choice("ab")
        number = self.bench.arrive(f"/{name}/x", left=self.random.choice((0.5, 3.0)))
        self.name_of[number] = name
        self.runs[number] = []
        if self.kinds[name] == "mutating":
            self.once.add(number)

    def end(self):
        """One attempt ends, or one that ended is told of again."""
        sends = self.sends()
        if not sends:
            return
        send = self.random.choice(sends)
        runs_now, runs_later, end, status, sent = self.random.choice(self.FATES)
        if (send.number, send.attempt) not in self.over:
            self.over.append((send.number, send.attempt))
            self.runs[send.number] += [send.attempt] * runs_now
            self.later += [send] * runs_later
        self.bench.handle(Outcome(send.number, send.attempt, send.worker, end, 100, b"x", (), status, sent))

    def sends(self):
        return [command for command in self.bench.executed if type(command) is commands.ForwardRequest]

    def run_late(self):
        if self.later:
            send = self.later.pop()
            self.runs[send.number].append(send.attempt)

    def go(self):
        if self.name_of:
            self.bench.handle(events.ClientGone(self.random.choice(list(self.name_of))))

    def pass_time(self):
        self.bench.later(self.random.choice((0.01, 0.3, 3.0)))  # the last: frozen, all timers due at once

    def play(self):
        steps = [self.arrive] * 4 + [self.end] * 8 + [self.configure, self.go, self.pass_time, self.run_late]
        for _ in range(STEPS):
            self.random.choice(steps)()
            self.record_forwards()
        while len(self.over) < len(self.sends()):
            self.end()
            self.record_forwards()
        while self.later:
            self.run_late()
        self.check()

    def check(self):
        for number, runs in self.runs.items():
            again = sorted(runs)[1:]
            if again and (number in self.once or any((number, attempt) in self.sent_once for attempt in again)):
                raise AssertionError(f"request {number} ran {len(runs)} times")
            if number in self.once and self.bench.final(number) in PROMISES and runs:
                raise AssertionError(f"request {number} was told {self.bench.final(number)} and ran")
        if self.bench.router.requests:
            raise AssertionError(f"never over: {self.bench.router.requests}")


def play_all():
    for seed in range(RUNS):
        World(seed).play()


def repeatable_on_arrival(self, request):
    return request.route.kind in router_module.REPEATABLE


GUARDS = {
    "what may have run is sent again only if it may be repeated": lambda: mock.patch.object(
        RequestRouter, "_repeatable", lambda self, request: True
    ),
    "the configuration that holds now is asked, too": lambda: mock.patch.object(
        RequestRouter, "_repeatable", repeatable_on_arrival
    ),
    "what may have run is told from what never ran": lambda: mock.patch.object(
        router_module, "surely_never_ran", lambda outcome: True
    ),
    "a worker's own promise is not passed on without Not-Run": lambda: mock.patch.object(
        router_module, "PROMISES", frozenset()
    ),
}


class TestRandom(testtools.TestCase):
    def test_random(self):
        play_all()

    def test_each_guard_is_needed(self):
        assert_each_is_needed(self, GUARDS, play_all)
