"""How news reaches this gateway: of its zone, one is the home that asks the control plane; the others are told by it. A home
that is silent, or that has not heard from the control plane of late, is passed by. Free of I/O."""

import attrs

from ..common import rendezvous
from ..common.messages import NO_VERSION

HOME_WAIT, PULL_AGAIN = 0.25, 0.6  # seconds until a silent home is passed by, until a pull is tried elsewhere
RELAYED_WITHIN = 1.5  # seconds since a control plane confirmed what we hold, within which it is handed on
PULL_PATIENCE, OPEN_PULLS = 3.0, 4  # seconds that an answer may take on a full link; pulls without an answer at once


@attrs.define
class Pull:
    """Ask the process at that ip for what is newer than what is held; give it up after `patience` seconds."""

    ip: str
    configuration: bool
    registry: bool
    patience: float = PULL_PATIENCE


@attrs.define
class Holding:
    """What a gateway or a control plane holds: the revision of the control state, the mark of the registry."""

    revision: int = 0
    registry: tuple = NO_VERSION


@attrs.define
class Source:
    holding: Holding
    at: float


class Subscriber:
    def __init__(self, node, zone):
        self.node, self.zone, self.gateways = node, zone, {}
        self.held, self.confirmed_at = Holding(), None
        self.sources, self.since, self.pulled, self.busy_until = {}, None, {}, 0.0

    def home(self):
        """The home of this zone's news; ourselves while we know of none."""
        in_zone = [node for node, gateway in self.gateways.items() if gateway.zone == self.zone]
        return rendezvous.first(f"news {self.zone}", in_zone)

    def neighbours(self):
        """(node, ip) of the others in the zone."""
        return [
            (node, gateway.ip)
            for node, gateway in self.gateways.items()
            if gateway.zone == self.zone and node != self.node
        ]

    def confirmed(self, now, revision):
        """A control plane that met a majority of late tells which revision is decided."""
        if revision and revision == self.held.revision:
            self.confirmed_at = now

    def may_relay(self, now):
        """May neighbours be given the configuration held here? Not where nobody has confirmed it of late."""
        return self.confirmed_at is not None and now - self.confirmed_at <= RELAYED_WITHIN

    def heard(self, now, ip, revision, registry, home=False):
        """Another tells what it holds. Returns pulls to make."""
        if revision <= self.held.revision and registry <= self.held.registry:
            return []
        self.sources[ip] = Source(Holding(revision, registry), now)
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
        for ip, _ in sorted(self.sources.items(), key=lambda item: -item[1].at):
            pulls = self._pull(now, ip)
            if pulls:
                return pulls
        return []

    def _behind(self):
        self.sources = {
            ip: source
            for ip, source in self.sources.items()
            if source.holding.revision > self.held.revision or source.holding.registry > self.held.registry
        }
        return bool(self.sources)

    def _pull(self, now, ip):
        # One at a time: at a start all control planes tell of the same news, and it was fetched from each. One that is
        # late stays open while the next is asked: on a full link all are late, and each given up begins from nothing.
        self.pulled = {asked: until for asked, until in self.pulled.items() if now < until}
        if now < self.busy_until or ip in self.pulled or len(self.pulled) >= OPEN_PULLS:
            return []
        told = self.sources[ip].holding
        self.pulled[ip], self.busy_until = now + PULL_PATIENCE, now + PULL_AGAIN
        return [Pull(ip, told.revision > self.held.revision, told.registry > self.held.registry)]

    def failed(self, now, ip):
        """A pull from `ip` ended without an answer; it may be asked again soon."""
        self.pulled[ip] = now + PULL_AGAIN

    def got(self, now, ip, revision, registry, gateways, confirmed_at=None):
        """What is held now, after a pull from `ip` ended. `confirmed_at`: when the configuration was asked for, where a
        control plane gave it."""
        if confirmed_at is not None:
            self.confirmed_at = max(self.confirmed_at or confirmed_at, confirmed_at)
        self.held, self.gateways = Holding(revision, registry), gateways
        self.pulled.pop(ip, None)
        self.busy_until = 0.0
        if not self._behind():
            self.since = None
