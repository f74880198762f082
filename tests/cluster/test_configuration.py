"""Settings files and configurations: what is taken, what is refused and with which words."""

import json

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common import settings
from fernyard.cluster.common.errors import ConfigurationError, SettingsError
from fernyard.cluster.control_plane import configuration
from fernyard.cluster.control_plane.call_table import Bind, find


def config(**changes):
    parsed = {
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
    parsed.update(changes)
    if path:
        parsed["vhosts"][0]["paths"][0].update(path)
    return json.dumps(parsed).encode()


def replaced(old, new):
    """The bytes of a valid configuration with one part replaced, for what `json.dumps` would not write."""
    body = config()
    assert old in body, old
    return body.replace(old, new)


def service(**changes):
    return config(svcs=[{"name": "s1", **changes}, {"name": "s2"}])


def caps(**changes):
    return config(caps={"headerBytes": 16384, "bodyBytes": 1000, "headerTimeoutS": 3, "idleTimeoutS": 15, **changes})


def account(**changes):
    return config(accounts=[{"name": "t1", "apikeys": ["k1"], **changes}])


def split(*weights):
    return config(path={"svc": None, "split": [{"svc": "s1", "weight": weight} for weight in weights]})


def hosts(*places):
    return config(
        vhosts=[
            {"host": host, "paths": [{"name": f"r{number}", "prefix": prefix, "kind": "idempotent", "svc": "s1"}]}
            for number, (host, prefix) in enumerate(places)
        ]
    )


def tenants(*holders):
    return config(accounts=[{"name": name, "apikeys": keys} for name, keys in holders])


ENDLESS = b"1e999"  # a number in JSON that no double holds

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
    "bytes behind the end": config() + b"}",
    "nested without end": b"[" * 100_000,
    "a version that Python alone reads": config(ver="0x00000c"),
    "a version with a sign": config(ver="+000000c"),
    "a version that is a number": config(ver=12),
    "a version of nine digits": config(ver="00000000c"),
    "a timeout of 0": config(path={"timeoutS": 0}),
    "a timeout below 0": config(path={"timeoutS": -2}),
    "an endless timeout": replaced(b'"timeoutS": 2', b'"timeoutS": ' + ENDLESS),
    "a timeout that is no number": replaced(b'"timeoutS": 2', b'"timeoutS": NaN'),
    "a timeout that is text": config(path={"timeoutS": "2"}),
    "a timeout without a value": config(path={"timeoutS": None}),
    "an aim of 0": config(path={"targetS": 0}),
    "an aim below 0": config(path={"targetS": -0.5}),
    "an endless aim": replaced(b'"timeoutS": 2', b'"targetS": ' + ENDLESS),
    "no tries": config(path={"tries": 0}),
    "half a try": config(path={"tries": 1.5}),
    "tries beyond all numbers": config(path={"tries": 10**30}),
    "a rank below 0": config(path={"prio": -1}),
    "one place twice": hosts(("h.example", "/a/"), ("h.example", "/a/")),
    "one place twice, the host in other letters": hosts(("h.example", "/a/"), ("H.Example", "/a/")),
    "an odd kind in other letters": config(path={"kind": "Idempotent"}),
    "all weights 0": split(0, 0),
    "the only weight 0": split(0),
    "an endless weight": replaced(b'"weight": 2.5', b'"weight": ' + ENDLESS),
    "an endless weight below 0": replaced(b'"weight": 2.5', b'"weight": -' + ENDLESS),
    "a weight below 0 beside others": split(3, -1),
    "no service behind an empty split": config(path={"svc": None, "split": []}),
    "a service named twice": config(svcs=[{"name": "s1"}, {"name": "s2"}, {"name": "s1"}]),
    "a service without connections": service(maxConns=0),
    "a cold spell below 0": service(coldS=-1),
    "a cold rate below 0": service(coldRateS=-1.0),
    "an account named twice": tenants(("t1", ["k1"]), ("t1", ["k2"])),
    "a key under two tenants": tenants(("t1", ["k1", "k2"]), ("t2", ["k3", "k1"])),
    "an empty key": account(apikeys=[""]),
    "a quota below 0": account(ratePerS=-1),
    "a burst below 0": account(burstMax=-1),
    "a tenant's rank below 0": account(prio=-1),
    "no header bytes": caps(headerBytes=0),
    "body bytes below 0": caps(bodyBytes=-1),
    "no time for a header": caps(headerTimeoutS=0),
    "no idle time": caps(idleTimeoutS=0),
    "a truth value for a tenant's rank": account(prio=True),
    "a truth value for a route's rank": config(path={"prio": False}),
    "a truth value for tries": config(path={"tries": True}),
    "a truth value for a timeout": config(path={"timeoutS": True}),
    "a truth value for connections": service(maxConns=True),
    "a truth value for header bytes": caps(headerBytes=True),
    "a number for a truth value": config(path={"public": 1}),
    "a fraction for a rank": account(prio=1.0),
    "a number among the keys": account(apikeys=["k1", 2, "k3"]),
    "null among the keys": account(apikeys=["k1", "k2", None]),
    "a text in place of the keys": account(apikeys="k1"),
    "an object in place of the keys": account(apikeys={"k1": 1}),
    "a number among the homes": account(homeRegions=["r1", "r2", 3]),
    "a number beyond 64 bits among the homes": config(path={"homeRegions": ["r1", 10**30]}),
    "a number for a name": config(svcs=[{"name": "s1"}, {"name": "s2"}, {"name": 3}]),
    "connections beyond 64 bits": service(maxConns=10**30),
    "half a character": replaced(b'"k1"', b'"\\ud800"'),
    "an endless idle time": replaced(b'"idleTimeoutS": 15', b'"idleTimeoutS": ' + ENDLESS),
}

VALID = {
    "fields that nobody knows": config(unknown={"field": 1}),
    "capital digits in the version": config(ver="0000000C"),
    "white space behind the end": config() + b" \n",
    "version 0": config(ver="00000000"),
    "short times": config(path={"timeoutS": 0.001, "targetS": 0.001}),
    "an aim beyond the timeout": config(path={"timeoutS": 1, "targetS": 2}),
    "the most urgent rank": config(path={"prio": 0}),
    "one weight of several 0": split(0, 5),
    "weights that are fractions": split(0.001, 0.999),
    "a service twice in one split": split(1, 2),
    "one prefix on two hosts": hosts(("h.example", "/a/"), ("g.example", "/a/")),
    "a prefix inside another": hosts(("h.example", "/a/"), ("h.example", "/a/b/"), ("h.example", "/")),
    "prefixes that differ in letters": hosts(("h.example", "/a/"), ("h.example", "/A/")),
    "a host in two parts": hosts(("h.example", "/a/"), ("H.example", "/b/")),
    "a route name on two hosts": config(
        vhosts=[
            {"host": host, "paths": [{"name": "r", "prefix": "/a/", "kind": "egress", "svc": "s1"}]}
            for host in ("g", "h")
        ]
    ),
    "no routes": config(vhosts=[]),
    "no accounts at all": config(accounts=None),
    "an empty list of accounts": config(accounts=[]),
    "a tenant whose keys were all taken away": account(apikeys=[]),
    "a key twice under one tenant": account(apikeys=["k1", "k1"]),
    "a tenant without a limit": account(ratePerS=0, burstMax=0),
    "a tenant without a rank": account(prio=None),
    "a service that is never cold": service(coldS=0, coldRateS=0),
    "no bodies at all": caps(bodyBytes=0),
    "hundreds of routes": hosts(*[("h.example", f"/p{number}/") for number in range(500)]),
}


class TestConfiguration(testtools.TestCase):
    def test_valid(self):
        stamp, parsed = configuration.read(config(unknown={"field": 1}))
        self.assertThat(stamp.version, Equals(12))
        plan = configuration.plan_of(stamp, parsed)
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

    def test_valid_where_no_rule_forbids(self):
        """What no rule forbids is taken: a valid change that is refused has its price."""
        for name, body in VALID.items():
            try:
                configuration.plan_of(*configuration.read(body))
            except ConfigurationError as why:
                self.fail(f"{name}: {why}")

    def test_acknowledged_by_an_earlier_build(self):
        """What lies on a disk was acknowledged once: it is read back without the checks of new orders."""
        body = config(path={"timeoutS": 0, "tries": 0})
        self.assertRaises(ConfigurationError, configuration.read, body)
        id, parsed = configuration.parse(body)
        self.assertThat(id.version, Equals(12))
        self.assertThat(configuration.plan_of(id, parsed).hosts["h.example"][0].tries, Equals(1))

    def test_no_key_in_a_complaint(self):
        error = self.assertRaises(ConfigurationError, configuration.read, REFUSED["a key under two tenants"])
        self.assertIn("t1", str(error))
        self.assertIn("t2", str(error))
        self.assertNotIn("k1", str(error))

    def test_calls(self):
        for method, path, bind, wanted in (
            ("PUT", "/-/config", "control", "put_configuration"),
            ("GET", "/-/config", "control", "get_configuration"),
            ("POST", "/-/evacuate/z", "control", "evacuate_zone"),
            ("DELETE", "/-/evacuate/z", "control", "restore_zone"),
            ("PATCH", "/-/config", "control", 405),
            ("GET", "/-/evacuate/", "control", 404),
            ("GET", "/-/config", "dir", 404),
            ("GET", "/-/resolve", "dir", "resolve"),
        ):
            found = find(method, path, Bind(bind))
            handler = 404 if found is None else 405 if found.call is None else found.call.handler
            self.assertThat(handler, Equals(wanted), (method, path, bind))


SETTINGS_FIELDS = {
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
        parsed = settings.parse(SETTINGS_FIELDS)
        self.assertThat(parsed.bounds, Equals({"a": 1.0, "b": True, "c": 0.5}))
        self.assertThat(parsed.seeds, Equals((("10.0.0.1", 9),)))
        self.assertThat(parsed.internal, Equals(("10.0.0.1", 1)))

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
            parsed = {**SETTINGS_FIELDS, name: value}
            if value is None:
                del parsed[name]
            error = self.assertRaises(SettingsError, settings.parse, parsed)
            self.assertIn("S100", str(error))
            self.assertIn(name, str(error))

    def test_no_file(self):
        self.assertRaises(SettingsError, settings.read, "/nowhere/local.toml")
