"""Seeded runs of the decisions of a gateway, as the build that first ended attempts with their client took them.

`golden/routing_runs.txt` holds digests of every event and every command of a router among two counters, with workers in three
tiers, quotas, failures and changes of configuration and registry. It stays as it was written: a change of names or shape changes
no decision.
"""

import hashlib
import pathlib
from random import Random

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common.messages import (
    NO_VERSION,
    ConfigurationUpdate,
    GatewayAddress,
    RegistryUpdate,
    Tenant,
    Worker,
    encode,
)
from fernyard.cluster.data_plane import commands, events
from fernyard.cluster.data_plane.counter import CounterTable
from fernyard.cluster.data_plane.router import RequestRouter
from fernyard.interface import End
from fernyard.workers import Outcome

from .test_router import plan, route, settings

GOLDEN = pathlib.Path(__file__).parent / "golden" / "routing_runs.txt"
SEEDS, STEPS, EVERY = range(8), 1500, 250
ZONES = ("z1", "z1", "z2", "z3")
KEYS = ("k-free", "k-few", "k-homed", "k-none", None)
PATHS = ("/r/x", "/r/deep/y", "/w/x", "/o/x", "/h/x", "/once/x", "/split/x", "/large/x", "/none")
FATES = (
    (End.PASSED, 200, True),
    (End.PASSED, 200, True),
    (End.PASSED, 200, True),
    (End.PASSED, 200, True),
    (End.ERROR, 500, True),
    (End.ERROR, 503, True),
    (End.RESET, 0, True),
    (End.TIMEOUT, 0, True),
    (End.TIMEOUT, 0, False),
    (End.CANCELLED, 0, True),
    (End.FULL, 503, True),
    (End.FULL, 421, True),
    (End.NO_CONNECTION, 0, True),
    (End.UNSENT, 0, False),
)


def hosts():
    return {
        "h.example": [
            route("read", "/r/"),
            route("deep", "/r/deep/", split=[("other", 1.0)]),
            route("write", "/w/", "mutating"),
            route("open", "/o/", public=True),
            route("home", "/h/", homes=["r2"]),
            route("once", "/once/", tries=1),
            route("split", "/split/", split=[("s", 3.0), ("other", 1.0)], tries=3),
            route("large", "/large/", "egress", tries=3),
        ]
    }


class Run:
    """A router, its counters and its workers, all driven by one seed. Commands are fields apart by their fields alone."""

    def __init__(self, seed):
        self.random, self.now, self.number = Random(seed), 10.0, 0
        self.router = RequestRouter(self.now, settings(), 1)
        self.counters = {"n1": CounterTable("n1", 1), "n2": CounterTable("n2", 2), "n3": CounterTable("n3", 3)}
        self.in_flight, self.arrived, self.totals = [], [], []
        self.revision, self.registry = 0, 0
        self.digest, self.steps, self.lines = hashlib.sha256(), 0, []
        self.configure()
        self.register()

    def step(self, event):
        self.steps += 1
        for command in self.router.step(self.now, event):
            self.record(command)
        self.digest.update(f"{self.router.next_at()} {self.router.serves}".encode())
        if self.steps % EVERY == 0:
            self.lines.append(f"{self.steps} {self.digest.hexdigest()[:16]}")

    def record(self, command):
        if type(command) is commands.ForwardRequest:
            self.in_flight.append((command.number, command.attempt, command.worker))
            fields = (command.number, command.attempt, command.worker, command.address, command.tenant, command.timeout)
        elif type(command) is commands.CancelAttempt:
            fields = (command.number, command.attempt, command.only_unsent)
        elif type(command) is commands.AnswerRequest:
            fields = (command.number, command.status, command.retry_after)
        elif type(command) is commands.RelayAnswer:
            fields = (command.number, command.outcome.dispatch, command.outcome.status)
        else:
            self.totals.append(command.count)
            fields = (command.ip, encode(command.count))
        self.digest.update(repr(fields).encode())

    def configure(self):
        self.revision += 1
        tenants = [
            Tenant("free", None, 0, 0, []),
            Tenant("few", None, 20.0, self.random.choice((0.0, 20.0)), []),
            Tenant("homed", None, 50.0, 60.0, ["r1"]),
        ]
        changed = plan(self.revision, hosts=hosts())
        changed.tenants = tenants
        evacuated = [zone for zone in ("z2", "z3") if self.random.random() < 0.2]
        self.step(events.ConfigurationChanged(ConfigurationUpdate(self.revision, changed, evacuated)))

    def register(self):
        self.registry += 1
        workers = {}
        for index in range(24):
            if self.random.random() < 0.9:
                name = f"w{index}-{self.random.randrange(2)}"
                cold = self.now + 3.0 if self.random.random() < 0.2 else 0.0
                draining = self.random.random() < 0.1
                service = ("s", "s", "other")[index % 3]
                workers[name] = Worker(name, service, f"10.1.0.{index}:1", ZONES[index % 4], 3, draining, cold)
        gateways = {
            name: GatewayAddress(name, f"ip-{name}", zone, "r1", f"{name}:80", True)
            for name, zone in (("n1", "z1"), ("n2", "z1"), ("n3", "z2"))
            if name == "n1" or self.random.random() < 0.8
        }
        update = RegistryUpdate(NO_VERSION, (1, self.registry), workers, gateways, self.now)
        self.step(events.RegistryChanged(update))

    def arrive(self):
        self.number += 1
        host = self.random.choice(("h.example", "H.example", "h.example:80", "other"))
        left = self.random.choice((0.05, 0.5, 3.0))
        key, path = self.random.choice(KEYS), self.random.choice(PATHS)
        self.arrived.append(self.number)
        self.step(events.RequestArrived(self.number, "GET", host, path, key, left))

    def end(self):
        if self.in_flight:
            number, dispatch, worker = self.in_flight.pop(self.random.randrange(len(self.in_flight)))
            end, status, sent = self.random.choice(FATES)
            self.step(Outcome(number, dispatch, worker, end, 100, b"x", (), status, sent))

    def count(self):
        """A counter answers an add; some answers are lost, some come late."""
        if not self.totals:
            return
        count = self.totals.pop(self.random.randrange(len(self.totals)))
        for counter in self.counters.values():
            total = counter.add(self.now, count, (1, self.registry))
            if total is not None and self.random.random() < 0.9:
                self.digest.update(encode(total))
                self.step(events.CountAnswered(total))

    def go_away(self):
        if self.arrived:
            self.step(events.ClientGone(self.arrived.pop(self.random.randrange(len(self.arrived)))))

    def restart_counter(self):
        name = self.random.choice(("n1", "n2", "n3"))
        self.counters[name] = CounterTable(name, self.random.getrandbits(20))

    def pass_time(self):
        self.now += self.random.choice((0.001, 0.01, 0.01, 0.05, 0.3))
        self.step(events.Tick())

    def play(self):
        choices = [self.arrive] * 30 + [self.end] * 28 + [self.count] * 24 + [self.pass_time] * 24
        choices += [self.go_away, self.configure, self.register]
        for _ in range(STEPS):
            self.random.choice(choices)()
            if self.random.random() < 0.002:
                self.restart_counter()
        return self.lines


def all_runs():
    return [f"{seed} {line}" for seed in SEEDS for line in Run(seed).play()]


class TestGoldenRouting(testtools.TestCase):
    def test_runs_take_the_same_decisions(self):
        self.assertThat(all_runs(), Equals(GOLDEN.read_text(encoding="utf-8").splitlines()))


if __name__ == "__main__":
    GOLDEN.write_text("\n".join(all_runs()) + "\n", encoding="utf-8")
