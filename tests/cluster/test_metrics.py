"""The figures that a gateway tells of itself, and where the operators are told to read them."""

import tomllib
from pathlib import Path

import testtools
from testtools.matchers import Equals

from fernyard.cluster.data_plane import events
from fernyard.cluster.data_plane.metrics import METRICS_PATH, METRICS_PORT, RouterMetrics, render
from fernyard.interface import End

from .test_router import Bench

DEPLOY = Path(__file__).parents[2] / "deploy" / "system.toml"


class TestMetrics(testtools.TestCase):
    def test_the_deploy_file_names_what_is_served(self):
        roles = tomllib.loads(DEPLOY.read_text(encoding="utf-8"))["roles"]
        self.assertThat(roles["data-plane"]["metrics"], Equals(f"{METRICS_PORT}{METRICS_PATH}"))

    def test_text(self):
        metrics = RouterMetrics(forwarded=3, unserved=1)
        metrics.record_abandoned("cancelled", 0.25)
        lines = render(metrics, 2).decode().splitlines()
        self.assertThat(
            [line.removeprefix("fernyard_gateway_") for line in lines],
            Equals(
                [
                    "attempts_total 3",
                    "attempts_in_flight 2",
                    "unserved_total 1",
                    "abandoned_seconds_total 0.250",
                    "abandoned_seconds_max 0.250",
                    "unreadable_plans_total 0",
                    "bodies_without_room_total 0",
                    'abandoned_total{end="cancelled"} 1',
                ]
            ),
        )

    def test_clients_that_left_by_stage(self):
        bench = Bench()
        for path, key, end, stage in (
            ("/r/x", "k-free", None, "attempt"),
            ("/r/x", "k-free", End.PASSED, "answered"),
            ("/w/x", "k-free", None, "attempt"),
        ):
            number = bench.arrive(path, key)
            if end is not None:
                bench.end(number, end, 200)
            before = bench.router.metrics.clients_gone[stage]
            bench.handle(events.ClientGone(number))
            self.assertThat(bench.router.metrics.clients_gone[stage], Equals(before + 1), (path, stage))
