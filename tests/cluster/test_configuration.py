"""Settings files and configurations: what is taken, what is refused and with which words."""

import json

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common import settings
from fernyard.cluster.common.errors import ConfigurationError, SettingsError
from fernyard.cluster.control_plane import configuration
from fernyard.cluster.control_plane.calls import find


def config(**changes):
    told = {
        "ver": "0000000c",
        "svcs": [{"name": "s1", "coldS": 3, "coldRateS": 10.0}, {"name": "s2"}],
        "caps": {"headerBytes": 16384, "bodyBytes": 1000, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "accounts": [{"name": "t1", "apikeys": ["k1", "k2"], "prio": 1, "ratePerS": 5, "burstMax": 10}],
        "vhosts": [
            {
                "host": "H.example",
                "paths": [
                    {"name": "r1", "prefix": "/a/", "kind": "idempotent", "svc": "s1", "tries": 2, "timeoutS": 2},
                    {
                        "name": "r2",
                        "prefix": "/a/b/",
                        "kind": "mutating",
                        "split": [{"svc": "s1", "weight": 0}, {"svc": "s2", "weight": 2.5}],
                    },
                ],
            }
        ],
    }
    path = changes.pop("path", None)
    told.update(changes)
    if path:
        told["vhosts"][0]["paths"][0].update(path)
    return json.dumps(told).encode()


REFUSED = {
    "cut short": config()[:-7],
    "nothing": b"",
    "no JSON": b"\xff\xfe{}",
    "not an object": b"[1]",
    "unknown service": config(path={"svc": "s9"}),
    "unknown service in a split": config(path={"svc": None, "split": [{"svc": "s9", "weight": 1}]}),
    "no service at all": config(path={"svc": None}),
    "a weight below 0": config(path={"split": [{"svc": "s1", "weight": -1}]}),
    "a prefix without a slash": config(path={"prefix": "a/"}),
    "an odd kind": config(path={"kind": "sometimes"}),
    "no version": config(ver=None),
    "a version of five digits": config(ver="0000c"),
    "a version that is no number": config(ver="0000zzzz"),
    "routes of another type": config(vhosts=[{"host": "h", "paths": {"a": 1}}]),
}


class TestConfiguration(testtools.TestCase):
    def test_taken(self):
        stamp, told = configuration.read(config(unknown={"field": 1}))
        self.assertThat(stamp.version, Equals(12))
        plan = configuration.plan_of(stamp, told)
        self.assertThat([route.prefix for route in plan.hosts["h.example"]], Equals(["/a/", "/a/b/"]))
        self.assertThat(plan.keys, Equals({"k1": 0, "k2": 0}))
        self.assertTrue(plan.keyed)
        self.assertFalse(configuration.plan_of(*configuration.read(config(accounts=None))).keyed)

    def test_one_version_two_contents(self):
        """The same bytes have the same digest everywhere, other bytes under the number another one."""
        one, other = (
            configuration.read(config())[0],
            configuration.read(config(svcs=[{"name": "s1"}, {"name": "s2"}]))[0],
        )
        self.assertThat(configuration.read(config())[0], Equals(one))
        self.assertThat(one.version, Equals(other.version))
        self.assertNotEqual(one, other)

    def test_refused(self):
        for name, body in REFUSED.items():
            error = self.assertRaises(ConfigurationError, configuration.read, body)
            self.assertIn("W200", str(error), name)

    def test_calls(self):
        for method, path, serves, wanted in (
            ("PUT", "/-/config", "control", "put_config"),
            ("GET", "/-/config", "control", "get_config"),
            ("POST", "/-/evacuate/z", "control", "evacuate"),
            ("DELETE", "/-/evacuate/z", "control", "take_back"),
            ("PATCH", "/-/config", "control", 405),
            ("GET", "/-/evacuate/", "control", 404),
            ("GET", "/-/config", "dir", 404),
            ("GET", "/-/resolve", "dir", "resolve"),
        ):
            found = find(method, path, serves)
            told = 404 if found is None else 405 if found[0] is None else found[0].handler
            self.assertThat(told, Equals(wanted), (method, path, serves))


TOLD = {
    "node": "n",
    "ip": "10.0.0.1",
    "zone": "z",
    "region": "r",
    "portRange": [1, 5],
    "seedAddrs": ["10.0.0.1:9"],
    "bounds": ["a=1,b=true", "c=0.5"],
    "binds": {"front": "10.0.0.1:8"},
    "later": {"field": 1},
}


class TestSettings(testtools.TestCase):
    def test_read(self):
        told = settings.parse(TOLD)
        self.assertThat(told.bounds, Equals({"a": 1.0, "b": True, "c": 0.5}))
        self.assertThat(told.seeds, Equals((("10.0.0.1", 9),)))
        self.assertThat(told.internal, Equals(("10.0.0.1", 1)))

    def test_refused(self):
        for name, value in (
            ("node", None),
            ("node", 7),
            ("portRange", [5, 1]),
            ("portRange", [1]),
            ("seedAddrs", ["nowhere"]),
            ("bounds", ["a=b"]),
            ("binds", {"front": "x"}),
            ("bootstrap", "yes"),
            ("cloud", {"addr": "1"}),
        ):
            told = {**TOLD, name: value}
            if value is None:
                del told[name]
            error = self.assertRaises(SettingsError, settings.parse, told)
            self.assertIn("S100", str(error))
            self.assertIn(name, str(error))

    def test_no_file(self):
        self.assertRaises(SettingsError, settings.read, "/nowhere/local.toml")
