"""What the control plane knows without a disk: which gateways live, what the platform's list says, and from both the
registry that all follow. Free of I/O."""

import attrs

from ..common import rendezvous
from ..common.messages import GatewayAddress, Worker

SILENT, MOST_SILENT = 1.1, 3.0  # seconds without a beat until a gateway is taken off
GAPS, GAP_FADE = 2.0, 0.97  # times its longest gap of late, where that is more: its link may be full
LIST_EVERY = 0.7  # between two looks at the platform's list, for a list that lags by about as much
LIST_PART = 0.2  # of the rate that the platform grants to all
COLD_GUESS = 1.0  # added to a cold spell told, for the way of the news
ADDRESSES, FEW = 64, 2  # addresses of an answer to clients, at most and at least
TTL, LONG_TTL = 1.0, 4.0  # seconds that an answer to clients holds: usually, while a control plane is silent
PEER_SILENT = SILENT + 0.2  # seconds without a heartbeat from a control plane until answers to clients hold longer
STRANGERS = 2.0  # seconds after a start in which only gateways heard are named, where any is
REGISTRY_SAVE_PERIOD = 1.0  # between two times that the registry is kept on disk


@attrs.define
class TrackedGateway:
    heartbeat: object
    at: float
    gap: float = 0.0

    def silent(self, now):
        return now - self.at >= min(MOST_SILENT, max(SILENT, GAPS * self.gap))


class Discovery:
    def __init__(self, now, zones, rate):
        """`zones`: {zone: region}; `rate`: calls a second that the platform takes from all."""
        self.zones, self.began, self.seen, self.highest = zones, now, {}, 0
        self.listed, self.pages, self.list_at = None, {}, now
        self.every = max(LIST_EVERY, 1.0 / max(0.01, LIST_PART * rate))

    def heard(self, now, heartbeat):
        """A gateway told how it is."""
        seen = self.seen.get(heartbeat.node)
        known = seen is not None and seen.heartbeat.incarnation == heartbeat.incarnation
        gap = max(seen.gap * GAP_FADE, min(MOST_SILENT, now - seen.at)) if known else 0.0
        self.seen[heartbeat.node] = TrackedGateway(heartbeat, now, gap)
        self.highest = max(self.highest, heartbeat.registry[0])

    def gateways(self, now):
        """{node: GatewayAddress} of those that are alive and stay."""
        return {
            node: GatewayAddress(
                node,
                seen.heartbeat.ip,
                seen.heartbeat.zone,
                seen.heartbeat.region,
                seen.heartbeat.front,
                seen.heartbeat.ready,
            )
            for node, seen in self.seen.items()
            if not seen.silent(now) and not seen.heartbeat.leaving
        }

    def alive(self, now):
        return [seen.heartbeat for seen in self.seen.values() if not seen.silent(now)]

    # The platform's list ---------------------------------------------------------------------------------------------

    def list_due(self, now):
        return now >= self.list_at

    def list_asked(self, now):
        self.list_at = now + self.every

    def list_page(self, now, rows, more):
        """A page of the list as [{field: value}]; True once the list is whole."""
        for row in rows:
            left = row.get("coldLeftS") or 0.0
            known = self.listed.get(row["id"]) if self.listed else None
            until = now + left + COLD_GUESS if left > 0 else 0.0
            if known is not None and known.cold_until and until and abs(known.cold_until - until) < 2 * self.every:
                until = known.cold_until  # the same spell, told again: no change of the registry
            self.pages[row["id"]] = Worker(
                row["id"], row["svc"], row["addr"], row["zone"], int(row["capacity"]), row["phase"] != "ready", until
            )
        if not more:
            self.listed, self.pages = self.pages, {}
        return not more

    def list_failed(self, now, turned_away):
        self.pages = {}
        if turned_away:
            self.list_at = now + 2 * self.every

    # Clients that ask where to go ------------------------------------------------------------------------------------

    def resolve(self, now, zone, region, gateways):
        """Addresses for a client of that zone and region, near first; None while nobody is known."""
        ready = {node: gateway for node, gateway in gateways.items() if gateway.ready}
        # A gateway that left or fell silent here is left out before the registry tells it, and after a start those that
        # a registry of before names and that may not be back.
        ready = {node: gateway for node, gateway in ready.items() if not self._gone(now, node)} or ready
        near = [gateway.front for gateway in ready.values() if gateway.zone == zone]
        if len(near) < FEW:
            near = [gateway.front for gateway in ready.values() if gateway.region == region]
        if len(near) < FEW:
            rest = rendezvous.few(zone, [gateway.front for gateway in ready.values() if gateway.front not in near], FEW)
            near += rest
        return sorted(near)[:ADDRESSES] or None

    def ttl(self, now, peers_heard):
        """Seconds that an answer to a client holds. `peers_heard`: when each other control plane was last heard. One
        without power costs each client that asks it a second, so clients are to ask less often while there is one: once
        the gateways that may have been lost with it are off the answers."""
        doubtful = any(now - seen.at >= SILENT and not seen.silent(now) for seen in self.seen.values())
        peer_silent = any(now - at >= PEER_SILENT for at in peers_heard)
        return LONG_TTL if peer_silent and not doubtful else TTL

    def _gone(self, now, node):
        seen = self.seen.get(node)
        if seen is None:
            return now - self.began < STRANGERS
        return seen.heartbeat.leaving or seen.silent(now)
