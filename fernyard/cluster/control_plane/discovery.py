"""What the control plane knows without a disk: which gateways live, and what the platform's endpoint list says. Both go into
the registry that all gateways follow. Free of I/O; times are seconds."""

from collections.abc import Collection, Mapping, Sequence
from typing import Any

import attrs

from ..common import rendezvous
from ..common.messages import GatewayAddress, GatewayHeartbeat, Worker

HEARTBEAT_TIMEOUT, MAX_HEARTBEAT_TIMEOUT = 1.1, 3.0  # without a heartbeat, until a gateway is taken off
GAP_FACTOR, GAP_DECAY = 2.0, 0.97  # times its longest gap of late, where that is more: its link may be full
MIN_LIST_INTERVAL = 0.7  # between two reads of the endpoint list, for a list that lags by about as much
RATE_FRACTION = 0.2  # of the rate of calls that the platform grants to all
SLOW_START_ALLOWANCE = 1.0  # added to a slow start, for the time that the update takes to the gateways
MAX_ADDRESSES, MIN_ADDRESSES = 64, 2  # in an answer to a client
TTL, LONG_TTL = 1.0, 4.0  # that an answer to a client holds: usually, and while a control plane is silent
PEER_TIMEOUT = HEARTBEAT_TIMEOUT + 0.2  # without a heartbeat of a control plane, until answers to clients hold longer
UNKNOWN_GRACE = 2.0  # after a start, in which only gateways heard from are named, where there is any
REGISTRY_SAVE_INTERVAL = 1.0


@attrs.define
class TrackedGateway:
    """A gateway's last heartbeat. `gap`: the longest time between two of late."""

    heartbeat: GatewayHeartbeat
    received_at: float
    gap: float = 0.0

    def is_silent(self, now: float) -> bool:
        """Has it missed its heartbeats?"""
        timeout = min(MAX_HEARTBEAT_TIMEOUT, max(HEARTBEAT_TIMEOUT, GAP_FACTOR * self.gap))
        return now - self.received_at >= timeout

    def address(self) -> GatewayAddress:
        """How others reach it."""
        heartbeat = self.heartbeat
        return GatewayAddress(
            heartbeat.node, heartbeat.ip, heartbeat.zone, heartbeat.region, heartbeat.front, heartbeat.ready
        )


class Discovery:
    """Gateways by their heartbeats, and workers by the platform's endpoint list."""

    def __init__(self, now: float, zones: Mapping[str, str], rate: float) -> None:
        """`zones`: {zone: region}; `rate`: calls a second that the platform takes from all."""
        self.zones, self.began_at = zones, now
        self.tracked: dict[str, TrackedGateway] = {}
        self.highest_term = 0  # of a registry version that a gateway reported
        self.workers: dict[str, Worker] | None = None  # as last listed completely
        self.list_interval = max(MIN_LIST_INTERVAL, 1.0 / max(0.01, RATE_FRACTION * rate))
        self._next_list_at = now
        self._pages: dict[str, Worker] = {}

    def record_heartbeat(self, now: float, heartbeat: GatewayHeartbeat) -> None:
        """A gateway reported its state."""
        tracked = self.tracked.get(heartbeat.node)
        gap = 0.0
        if tracked is not None and tracked.heartbeat.incarnation == heartbeat.incarnation:
            gap = max(tracked.gap * GAP_DECAY, min(MAX_HEARTBEAT_TIMEOUT, now - tracked.received_at))
        self.tracked[heartbeat.node] = TrackedGateway(heartbeat, now, gap)
        self.highest_term = max(self.highest_term, heartbeat.registry[0])

    def gateways(self, now: float) -> dict[str, GatewayAddress]:
        """By node, those that are alive and stay."""
        return {
            node: tracked.address()
            for node, tracked in self.tracked.items()
            if not tracked.is_silent(now) and not tracked.heartbeat.draining
        }

    def alive(self, now: float) -> list[GatewayHeartbeat]:
        """The last heartbeats of gateways that are alive."""
        return [tracked.heartbeat for tracked in self.tracked.values() if not tracked.is_silent(now)]

    # The platform's endpoint list ------------------------------------------------------------------------------------

    def is_list_due(self, now: float) -> bool:
        """Is it time to read the list?"""
        return now >= self._next_list_at

    def list_requested(self, now: float) -> None:
        """The list is being read."""
        self._next_list_at = now + self.list_interval

    def add_list_page(self, now: float, rows: Sequence[Mapping[str, Any]], more: str | None) -> bool:
        """A page of the list, its rows by the platform's field names (PROTOCOL); `more`: the cursor of the next page.

        True once the list is complete. Raises KeyError, TypeError or ValueError where a row cannot be read.
        """
        for row in rows:
            self._pages[row["id"]] = self._worker(now, row)
        if not more:
            self.workers, self._pages = self._pages, {}
        return not more

    def _worker(self, now: float, row: Mapping[str, Any]) -> Worker:
        remaining = row.get("coldLeftS") or 0.0
        cold_until = now + remaining + SLOW_START_ALLOWANCE if remaining > 0 else 0.0
        known = self.workers.get(row["id"]) if self.workers else None
        if known is not None and known.cold_until and cold_until:
            is_same = abs(known.cold_until - cold_until) < 2 * self.list_interval
            cold_until = known.cold_until if is_same else cold_until  # listed again: no change of the registry
        draining = row["phase"] != "ready"
        return Worker(row["id"], row["svc"], row["addr"], row["zone"], int(row["capacity"]), draining, cold_until)

    def list_failed(self, now: float, rate_limited: bool) -> None:
        """The list could not be read completely; `rate_limited`: the platform refused the call."""
        self._pages = {}
        if rate_limited:
            self._next_list_at = now + 2 * self.list_interval

    # Clients that ask where to go ------------------------------------------------------------------------------------

    def resolve(self, now: float, zone: str, region: str, gateways: Mapping[str, GatewayAddress]) -> list[str] | None:
        """Addresses for a client of that zone and region, near first; None while no gateway is known."""
        ready = {node: gateway for node, gateway in gateways.items() if gateway.ready}
        # A gateway that left or fell silent here is left out before the registry says so, and after a start those that
        # an earlier registry names and that may not be back.
        ready = {node: gateway for node, gateway in ready.items() if not self._is_gone(now, node)} or ready
        near = [gateway.front for gateway in ready.values() if gateway.zone == zone]
        if len(near) < MIN_ADDRESSES:
            near = [gateway.front for gateway in ready.values() if gateway.region == region]
        if len(near) < MIN_ADDRESSES:
            far = [gateway.front for gateway in ready.values() if gateway.front not in near]
            near += rendezvous.top(zone, far, MIN_ADDRESSES)
        return sorted(near)[:MAX_ADDRESSES] or None

    def ttl(self, now: float, peers_last_seen: Collection[float]) -> float:
        """Seconds that an answer to a client holds. `peers_last_seen`: when each other control plane was last in touch.

        A control plane without power costs each client that asks it a second, so clients are to ask less often while there
        is one: once the gateways that may have been lost with it are off the answers.
        """
        tracked = self.tracked.values()
        doubtful = any(
            now - gateway.received_at >= HEARTBEAT_TIMEOUT and not gateway.is_silent(now) for gateway in tracked
        )
        peer_silent = any(now - at >= PEER_TIMEOUT for at in peers_last_seen)
        return LONG_TTL if peer_silent and not doubtful else TTL

    def _is_gone(self, now: float, node: str) -> bool:
        tracked = self.tracked.get(node)
        if tracked is None:
            return now - self.began_at < UNKNOWN_GRACE
        return tracked.heartbeat.draining or tracked.is_silent(now)
