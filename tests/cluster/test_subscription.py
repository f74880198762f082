"""A change reaches every data plane in touch, whoever of a zone is its home, cut off, frozen or gone."""

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common.messages import GatewayAddress
from fernyard.cluster.data_plane.subscription import MAX_OPEN_PULLS, Subscriber, Versions

STEP, BEAT, PULL = 0.05, 0.4, 0.8


class Zone:
    """Control planes that hold a revision each, and the gateways of one zone; pulls take one step, a hung one its
    time-out."""

    def __init__(self, names="abc", cores=("c1", "c2")):
        self.now, self.cores, self.names = 0.0, {core: 1 for core in cores}, names
        self.gateways = {name: GatewayAddress(name, name, "z", "r", "", True) for name in names}
        self.held = {name: 1 for name in names}
        self.followers, self.cut, self.dead, self.pulls, self.lost = {}, [], [], [], False
        for name in names:
            follower = self.followers[name] = Subscriber(name, "z")
            follower.pull_ended("", Versions(1), self.gateways, 0.0)

    @property
    def home(self):
        return self.followers[self.names[0]].home()

    def reaches(self, a, b):
        return not {a, b} & set(self.dead) and (a, b) not in self.cut and (b, a) not in self.cut

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP, 6)
            for name in self.names:
                if name not in self.dead:
                    self.step(name)

    def step(self, name):
        follower = self.followers[name]
        if abs(self.now / BEAT - round(self.now / BEAT)) < 1e-6:
            for core, revision in self.cores.items():
                if self.reaches(name, core):
                    follower.confirmed(self.now, revision)
                    self.ask(name, follower.notified(self.now, core, Versions(revision)))
        self.ask(name, follower.due(self.now))
        for pull in [pull for pull in self.pulls if pull[0] == name and pull[2] <= self.now]:
            self.pulls.remove(pull)
            if self.reaches(name, pull[1]):
                self.held[name] = max(self.held[name], self.cores.get(pull[1]) or self.held[pull[1]])
                follower.pull_ended(
                    pull[1], Versions(self.held[name]), self.gateways, self.now if pull[1] in self.cores else None
                )
                if follower.home() == name and not self.lost:
                    for other in follower.neighbour_ips():
                        if self.reaches(name, other):
                            self.ask(
                                other, self.followers[other].notified(self.now, name, Versions(self.held[name]), True)
                            )

    def ask(self, name, pulls):
        for pull in pulls:
            took = STEP if self.reaches(name, pull.ip) else PULL
            self.pulls.append((name, pull.ip, self.now + took))

    def publish(self, revision, cores=None):
        for core in cores or self.cores:
            self.cores[core] = revision
        for name in self.names:
            for core in cores or self.cores:
                if name not in self.dead and self.reaches(name, core) and not self.lost:
                    self.ask(name, self.followers[name].notified(self.now, core, Versions(revision)))


class TestNews(testtools.TestCase):
    def test_in_force_in_time(self):
        cases = {
            "calm": lambda zone: None,
            "the home is dead, not known yet": lambda zone: zone.dead.append(zone.home),
            "the home is cut off from the control planes": lambda zone: zone.cut.extend(
                (zone.home, core) for core in zone.cores
            ),
            "the home is cut off from its neighbours": lambda zone: zone.cut.extend(
                (zone.home, name) for name in zone.names if name != zone.home
            ),
            "one control plane is dead": lambda zone: zone.dead.append("c1"),
            "one control plane is cut off from all": lambda zone: zone.cut.extend(("c1", name) for name in zone.names),
            "every notice is lost": lambda zone: setattr(zone, "lost", True),
        }
        for name, harm in cases.items():
            zone = Zone()
            zone.run(1.0)
            harm(zone)
            zone.publish(2)
            zone.run(2.0)
            wanted = [
                n
                for n in zone.names
                if n not in zone.dead
                and any(
                    zone.reaches(n, other)
                    for other in (*zone.cores, *zone.names)
                    if other != n
                    and other not in zone.dead
                    and (other in zone.cores or zone.reaches(other, "c1") or zone.reaches(other, "c2"))
                )
            ]
            for n in wanted:
                if name == "the home is cut off from the control planes" and n == zone.home:
                    continue  # not in touch: told once its links are back
                self.assertThat(zone.held[n], Equals(2), (name, n))

    def test_stale_control_plane_takes_nobody_back(self):
        zone = Zone()
        zone.publish(5, ["c2"])
        zone.run(2.0)
        self.assertThat(set(zone.held.values()), Equals({5}))
        zone.run(2.0)
        self.assertThat(set(zone.held.values()), Equals({5}))

    def test_home_asks_for_its_zone(self):
        """In calm times one of a zone asks a control plane, whatever its size."""
        zone = Zone("abcdefgh")
        zone.run(1.0)
        asked = []
        real = zone.ask
        zone.ask = lambda name, pulls: (asked.extend((name, pull.ip) for pull in pulls), real(name, pulls))
        zone.publish(2)
        zone.run(0.3)
        self.assertThat({name for name, ip in asked if ip in zone.cores}, Equals({zone.home}))
        self.assertThat(set(zone.held.values()), Equals({2}))


class TestFullLink(testtools.TestCase):
    """All answers come late where a gateway's link is full: none may be given up before it can arrive."""

    def pulled(self, delays, until=6.0):
        """When a change told at 0 by control planes is held, whose answers take `delays`; None: they never come. And how
        many pulls were open at once at most."""
        subscriber, pulls, now, most = Subscriber("a", "z"), [], 0.0, 0
        for core in delays:
            pulls += [(now, pull) for pull in subscriber.notified(now, core, Versions(2))]
        while now < until:
            now = round(now + STEP, 6)
            pulls += [(now, pull) for pull in subscriber.due(now)]
            for began, pull in list(pulls):
                delay = delays[pull.ip]
                if delay is not None and delay <= pull.timeout and now >= began + delay:
                    return now, most
                if now >= began + pull.timeout:
                    pulls.remove((began, pull))
                    subscriber.pull_failed(now, pull.ip)
            most = max(most, len(pulls))
        return None, most

    def test_held_in_time(self):
        names = ["c1", "c2", "c3", "c4", "c5"]
        for delays, wanted in (
            ((0.1, 0.1, 0.1, 0.1, 0.1), 0.1),
            ((0.9, 0.9, 0.9, 0.9, 0.9), 0.9),
            ((1.5, 1.5, 1.5, 1.5, 1.5), 1.5),
            ((2.8, 2.8, 2.8, 2.8, 2.8), 2.8),
            ((None, 1.5, 1.5, 1.5, 1.5), 2.2),
            ((None, None, None, 1.5, 1.5), 3.4),
        ):
            at, most = self.pulled(dict(zip(names, delays)))
            self.assertTrue(at is not None and at <= wanted + 0.01, (delays, at))
            self.assertTrue(most <= MAX_OPEN_PULLS, (delays, most))

    def test_one_that_failed_at_once_is_asked_again_soon(self):
        subscriber = Subscriber("a", "z")
        self.assertThat(len(subscriber.notified(0.0, "c1", Versions(2))), Equals(1))
        subscriber.pull_failed(0.05, "c1")
        self.assertThat(subscriber.due(0.1), Equals([]))
        self.assertThat([pull.ip for pull in subscriber.due(0.7)], Equals(["c1"]))
