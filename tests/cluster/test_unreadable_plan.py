"""A configuration that gateways cannot read: they keep the one that they have and take what else comes with it; one that an earlier build
acknowledged does not keep evacuations back."""

import json
from types import SimpleNamespace
from typing import Any

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common.messages import ConfigurationUpdate, Plan, encode
from fernyard.cluster.control_plane import configuration
from fernyard.cluster.control_plane.gateway_plan import GatewayPlan
from fernyard.cluster.control_plane.state import ConfigurationId
from fernyard.cluster.data_plane.events import ConfigurationChanged
from fernyard.cluster.data_plane.update_client import read_update

from .test_configuration_types import VALID
from .test_router import Bench


def body_of(version: int, prio: Any = 1) -> bytes:
    account = {**VALID["accounts"][0], "prio": prio}
    return json.dumps({**VALID, "ver": f"{version:08x}", "accounts": [account]}).encode()


def plan_of(version: int, prio: Any = 1) -> Plan:
    return configuration.plan_of(*configuration.parse(body_of(version, prio)))


class TestGateway(testtools.TestCase):
    def test_the_rest_of_an_update_is_taken(self):
        """Guards against evacuations that a configuration which cannot be read keeps back (review/1)."""
        received = read_update(encode(ConfigurationUpdate(9, plan_of(5, True), ["z1"])))
        self.assertThat(received.update, Equals(ConfigurationUpdate(9, None, ["z1"])))
        self.assertIn("W202", str(received.unreadable))
        bench = Bench()
        plan = bench.router.routes.plan
        rest = ConfigurationUpdate(bench.router.revision + 1, None, ["z1"])
        bench.handle(ConfigurationChanged(rest))
        self.assertThat((bench.router.routes.plan, bench.router.evacuated), Equals((plan, ["z1"])))

    def test_what_can_be_read_is_read(self):
        for plan in (plan_of(5), None):
            update = ConfigurationUpdate(9, plan, ["z1"])
            received = read_update(encode(update))
            self.assertThat((received.update, received.unreadable), Equals((update, None)))


class TestStoredConfiguration(testtools.TestCase):
    def test_one_that_gateways_cannot_read_leaves_the_plan_before_it(self):
        """Guards against gateways that hear nothing any more while such a configuration is in force."""
        gateway_plan = GatewayPlan()
        for body, version in ((body_of(5), 5), (body_of(6, True), 5), (body_of(7), 7)):
            id = ConfigurationId.of(int(json.loads(body)["ver"], 16), body)
            bodies = SimpleNamespace(content=lambda _, body=body: body)
            gateway_plan.update(SimpleNamespace(state=SimpleNamespace(configuration=id), bodies=bodies))
            self.assertThat(gateway_plan.plan.id[:8], Equals(f"{version:08x}"))
