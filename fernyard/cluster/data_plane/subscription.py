"""How news reaches this gateway: of its zone, one is the home that asks the control plane; the others are told by it.
A home that is silent is passed by. Free of I/O."""

import attrs

from ..common import rendezvous
from ..common.messages import NONE

HOME_WAIT, PULL_AGAIN = 0.25, 0.6  # seconds until a silent home is passed by, until a pull is tried elsewhere
PULL_PATIENCE, OPEN_PULLS = 3.0, 4  # seconds that an answer may take on a full link; pulls without an answer at once


@attrs.define
class Pull:
    """Ask the process at that ip for what is newer than what is held; give it up after `patience` seconds."""

    ip: str
    plan: bool
    registry: bool
    patience: float = PULL_PATIENCE


@attrs.define
class Behind:
    config: tuple = NONE
    evacuations: int = 0
    registry: tuple = NONE


class Subscriber:
    def __init__(self, node, zone):
        self.node, self.zone, self.gateways = node, zone, {}
        self.held, self.seen = Behind(), Behind()
        self.sources, self.since, self.pulled, self.busy_until = {}, None, {}, 0.0

    def home(self):
        """The home of this zone's news; ourselves while we know of none."""
        return rendezvous.first(f"news {self.zone}", [n for n, d in self.gateways.items() if d.zone == self.zone])

    def neighbours(self):
        """(node, ip) of the others in the zone."""
        return [
            (node, gateway.ip)
            for node, gateway in self.gateways.items()
            if gateway.zone == self.zone and node != self.node
        ]

    def heard(self, now, ip, config, evacuations, registry, home=False):
        """Another tells what it holds. Returns pulls to make."""
        if config > self.held.config or evacuations > self.held.evacuations or registry > self.held.registry:
            self.sources[ip] = (config, evacuations, registry, now)
            if self.since is None:
                self.since = now
            if home or self.home() in (None, self.node) or now - self.since >= HOME_WAIT:
                return self._pull(now, ip)
        return []

    def due(self, now):
        """Pulls to make now that time has passed."""
        if self.since is None:
            return []
        if not self._behind():
            self.since = None
            return []
        if now - self.since < HOME_WAIT and self.home() not in (None, self.node):
            return []
        for ip, (_, _, _, at) in sorted(self.sources.items(), key=lambda item: -item[1][3]):
            pulls = self._pull(now, ip)
            if pulls:
                return pulls
        return []

    def _behind(self):
        held = self.held
        self.sources = {
            ip: told
            for ip, told in self.sources.items()
            if told[0] > held.config or told[1] > held.evacuations or told[2] > held.registry
        }
        return bool(self.sources)

    def _pull(self, now, ip):
        # One at a time: at a start all control planes tell of the same news, and it was fetched from each. One that is
        # late stays open while the next is asked: on a full link all are late, and each given up begins from nothing.
        self.pulled = {asked: until for asked, until in self.pulled.items() if now < until}
        if now < self.busy_until or ip in self.pulled or len(self.pulled) >= OPEN_PULLS:
            return []
        told = self.sources[ip]
        self.pulled[ip], self.busy_until = now + PULL_PATIENCE, now + PULL_AGAIN
        return [Pull(ip, told[0] > self.held.config or told[1] > self.held.evacuations, told[2] > self.held.registry)]

    def failed(self, now, ip):
        """A pull from `ip` ended without an answer; it may be asked again soon."""
        self.pulled[ip] = now + PULL_AGAIN

    def got(self, now, ip, config, evacuations, registry, gateways):
        """What is held now, after a pull from `ip` ended."""
        self.held, self.gateways = Behind(config, evacuations, registry), gateways
        self.pulled.pop(ip, None)
        self.busy_until = 0.0
        if not self._behind():
            self.since = None
