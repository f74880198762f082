"""A valid configuration with one value replaced, at every place of its tree: what is acknowledged is read by both roles as it was meant,
and the verdict on the same bytes never changes."""

import json
from collections.abc import Iterator
from typing import Any

import testtools
from hypothesis import given, settings, strategies as st
from testtools.matchers import Equals

from fernyard.cluster.common.errors import ConfigurationError
from fernyard.cluster.common.messages import (
    ConfigurationUpdate,
    Plan,
    decode_configuration_update,
    encode,
)
from fernyard.cluster.control_plane import configuration

Place = tuple[str | int, ...]

VALID: dict[str, Any] = {
    "ver": "0000000c",
    "svcs": [
        {"name": "s1", "healthPath": "/h", "maxConns": 9, "coldS": 3, "coldRateS": 10.0},
        {"name": "s2"},
    ],
    "caps": {"headerBytes": 16384, "bodyBytes": 1000, "headerTimeoutS": 3, "idleTimeoutS": 15},
    "accounts": [
        {
            "name": "t1",
            "apikeys": ["k1", "k2", "k3"],
            "prio": 1,
            "ratePerS": 5,
            "burstMax": 10,
            "homeRegions": ["r1", "r2"],
        }
    ],
    "vhosts": [
        {
            "host": "h.example",
            "paths": [
                {
                    "name": "r1",
                    "prefix": "/a/",
                    "kind": "idempotent",
                    "svc": "s1",
                    "tries": 2,
                    "timeoutS": 2,
                    "targetS": 0.5,
                    "prio": 1,
                    "public": False,
                    "homeRegions": ["r1", "r2"],
                },
                {
                    "name": "r2",
                    "prefix": "/b/",
                    "kind": "mutating",
                    "split": [{"svc": "s1", "weight": 1}, {"svc": "s2", "weight": 2.5}],
                },
            ],
        }
    ],
}
ODD_VALUES = (True, False, 0, 1, -1, 2.0, 0.5, 2**63, 2**64, 10**30, None, "", "x", [], ["x", 1], [None], {}, {"a": 1})
READINGS, FEW_READINGS = 50, 4
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=4,
)


def places(value: Any, way: Place = ()) -> Iterator[Place]:
    """The way to each value below this one."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        yield (*way, key)
        yield from places(inner, (*way, key))


def with_value(place: Place, value: Any) -> bytes:
    """The valid configuration with another value at that place."""
    whole = json.loads(json.dumps(VALID))
    parent = whole
    for key in place[:-1]:
        parent = parent[key]
    parent[place[-1]] = value
    return json.dumps(whole).encode()


def verdict(body: bytes) -> Plan | None:
    """The plan of a configuration that is acknowledged; None: it is refused."""
    try:
        return configuration.plan_of(*configuration.read(body))
    except ConfigurationError:
        return None


def as_a_gateway_reads_it(plan: Plan) -> Plan | None:
    return decode_configuration_update(encode(ConfigurationUpdate(1, plan, []))).plan


PLACES = tuple(places(VALID))


class TestEveryPlace(testtools.TestCase):
    def check(self, body: bytes, readings: int) -> None:
        verdicts = [verdict(body) for _ in range(readings)]
        first = verdicts[0]
        self.assertThat([other for other in verdicts if other != first], Equals([]), body)
        if first is not None:
            self.assertThat(as_a_gateway_reads_it(first), Equals(first), body)
            id, parsed = configuration.parse(body)
            self.assertThat(configuration.plan_of(id, parsed), Equals(first), body)

    def test_odd_values(self):
        """Guards against a configuration that is acknowledged and that no gateway can read (review/1)."""
        for place in PLACES:
            for value in ODD_VALUES:
                self.check(with_value(place, value), FEW_READINGS)

    def test_a_truth_value_is_refused_wherever_no_truth_value_belongs(self):
        for place in PLACES:
            if place[-1] != "public":
                self.assertThat(verdict(with_value(place, True)), Equals(None), place)

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(place=st.sampled_from(PLACES), value=JSON_VALUES)
    def test_any_value(self, place, value):
        self.check(with_value(place, value), READINGS)
