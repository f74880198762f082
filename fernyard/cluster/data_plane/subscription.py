"""How updates reach this gateway: one gateway of its zone is the home that asks the control plane; the others are notified by
it. A home that is silent, or that no control plane has confirmed of late, is bypassed. Free of I/O; times are seconds."""

from collections.abc import Mapping

import attrs

from ..common import rendezvous
from ..common.messages import NO_VERSION, GatewayAddress, RegistryVersion

HOME_TIMEOUT = 0.25  # until a silent home is bypassed
PULL_RETRY = 0.6  # until a pull is tried elsewhere
RELAYED_WITHIN = 1.5  # since a control plane confirmed what we have, within which it is handed on
PULL_TIMEOUT = 3.0  # that an answer may take on a full link
MAX_OPEN_PULLS = 4  # without an answer at once


@attrs.frozen
class Pull:
    """Ask the process at that ip for what is newer than what we have; give it up after `timeout`."""

    ip: str
    configuration: bool
    registry: bool
    timeout: float = PULL_TIMEOUT


@attrs.frozen
class Versions:
    """What a gateway or a control plane has: the revision of the control state, the version of the registry."""

    revision: int = 0
    registry: RegistryVersion = NO_VERSION

    def is_newer_than(self, other: "Versions") -> bool:
        """Is either of the two newer?"""
        return self.revision > other.revision or self.registry > other.registry


@attrs.define
class Source:
    """A process that notified us, and what it has."""

    versions: Versions
    notified_at: float


class Subscriber:
    """What this gateway has, and from where it pulls what is newer."""

    def __init__(self, node: str, zone: str) -> None:
        """`node`, `zone`: ours."""
        self.node, self.zone = node, zone
        self.gateways: Mapping[str, GatewayAddress] = {}
        self.versions = Versions()
        self.confirmed_at: float | None = None
        self.sources: dict[str, Source] = {}  # that have something newer, by ip
        self.behind_since: float | None = None
        self._retry_at: dict[str, float] = {}  # of open pulls, by ip
        self._next_pull_at = 0.0

    def home(self) -> str | None:
        """The home of this zone's updates; None while we know of none."""
        in_zone = [node for node, gateway in self.gateways.items() if gateway.zone == self.zone]
        return rendezvous.first(f"news {self.zone}", in_zone)

    def neighbour_ips(self) -> list[str]:
        """Where the others in the zone are."""
        return [
            gateway.ip for node, gateway in self.gateways.items() if gateway.zone == self.zone and node != self.node
        ]

    def confirmed(self, now: float, revision: int) -> None:
        """A control plane that was in touch with a majority of late reports which revision is decided."""
        if revision and revision == self.versions.revision:
            self.confirmed_at = now

    def may_relay(self, now: float) -> bool:
        """May neighbours be given the configuration that we have? Not where nobody has confirmed it of late."""
        return self.confirmed_at is not None and now - self.confirmed_at <= RELAYED_WITHIN

    def notified(self, now: float, ip: str, versions: Versions, by_home: bool = False) -> list[Pull]:
        """Another process reports what it has. Returns pulls to make."""
        if not versions.is_newer_than(self.versions):
            return []
        self.sources[ip] = Source(versions, now)
        if self.behind_since is None:
            self.behind_since = now
        if by_home or self._is_home() or now - self.behind_since >= HOME_TIMEOUT:
            return self._pull(now, ip)
        return []

    def due(self, now: float) -> list[Pull]:
        """Pulls to make now that time has passed."""
        if self.behind_since is None:
            return []
        if not self._is_behind():
            self.behind_since = None
            return []
        if now - self.behind_since < HOME_TIMEOUT and not self._is_home():
            return []
        for ip, _ in sorted(self.sources.items(), key=lambda item: -item[1].notified_at):
            pulls = self._pull(now, ip)
            if pulls:
                return pulls
        return []

    def _is_home(self) -> bool:
        """Are we the home, as far as we know?"""
        return self.home() in (None, self.node)

    def _is_behind(self) -> bool:
        self.sources = {
            ip: source for ip, source in self.sources.items() if source.versions.is_newer_than(self.versions)
        }
        return bool(self.sources)

    def _pull(self, now: float, ip: str) -> list[Pull]:
        # One at a time: at a start all control planes notify of the same update, and it was fetched from each. One that is
        # late stays open while the next is asked: on a full link all are late, and each given up begins from nothing.
        self._retry_at = {asked: until for asked, until in self._retry_at.items() if now < until}
        if now < self._next_pull_at or ip in self._retry_at or len(self._retry_at) >= MAX_OPEN_PULLS:
            return []
        newer = self.sources[ip].versions
        self._retry_at[ip], self._next_pull_at = now + PULL_TIMEOUT, now + PULL_RETRY
        return [Pull(ip, newer.revision > self.versions.revision, newer.registry > self.versions.registry)]

    def pull_failed(self, now: float, ip: str) -> None:
        """A pull from `ip` ended without an answer; it may be asked again soon."""
        self._retry_at[ip] = now + PULL_RETRY

    def pull_ended(
        self,
        ip: str,
        versions: Versions,
        gateways: Mapping[str, GatewayAddress],
        confirmed_at: float | None = None,
    ) -> None:
        """A pull from `ip` ended; `versions` and `gateways` are what we have now. `confirmed_at`: when the configuration was
        asked for, where a control plane gave it."""
        if confirmed_at is not None:
            self.confirmed_at = max(self.confirmed_at or confirmed_at, confirmed_at)
        self.versions, self.gateways = versions, gateways
        self._retry_at.pop(ip, None)
        self._next_pull_at = 0.0
        if not self._is_behind():
            self.behind_since = None
