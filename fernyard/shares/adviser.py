"""What planners make of edges' demands: the part `shares` of the agreed order. Free of I/O.

    {"rates": {EDGE: {TENANT: units a second}}, "owed": {EDGE: {TENANT: [rate it may still pass, until, N]}}, "number": N}

An edge is a gatekeeper or forwarder; its reqs count for the workers of its zone, and it passes so many units a second itself. A
flow is one tenant at one edge; a tenant's weight counts once, over all its edges, split by what it asks at each (the global fairness of
distributed limits, after Raghavan et al. 2007; filled centrally as BwE does, Kumar et al. 2015, without its hierarchy and
priorities). Planners compute from the order that stands and from what is reported; what one decides stands for all.

Nothing is ever granted twice. What an edge loses counts as still passed (`owed`) until it has reported the order that took it, or
until its lease on any older one is over, with the skew of clocks on top; only then does it go to who gains. Each edge has a floor
beside, for when it hears no order; the floors of all edges there may be are set aside from the start.

Times are whole tenths of a millisecond of Unix time; rates in units a second.
"""

from dataclasses import dataclass

from .allocate import fill

SECOND = 10_000
AHEAD, LEAST = 1.25, 1.0  # of what an edge is offered is granted, and so many units a second at least: room to grow
CLOSE = 0.1  # a share that would change by less than that stays as it is
ROUNDS = SECOND  # an order may take so long from its making until it is decided


@dataclass(frozen=True, slots=True)
class Tenant:
    """`guaranteed`, `cap` in units a second over all edges; cap 0: none."""

    name: str
    weight: float = 1.0
    guaranteed: float = 0.0
    cap: float = 0.0


@dataclass(frozen=True, slots=True)
class SharesSettings:
    """`zones`: units a second that each zone's workers carry; `edge`: that an edge passes; `edges`: how many there may be in a
    zone; `floor`: the part of each capacity set aside for edges that hear no order."""

    tenants: tuple[Tenant, ...]
    zones: dict
    edge: float
    edges: int
    floor: float = 0.05

    def floor_of(self, zone):
        """Tenant -> units a second at one edge of that zone without an order."""
        part = self.floor * min(self.zones.get(zone, 0.0) / max(1, self.edges), self.edge)
        weight = sum(tenant.weight for tenant in self.tenants)
        return {tenant.name: part * tenant.weight / weight for tenant in self.tenants}


class SharesAdviser:
    name = "shares"

    def __init__(self, settings, lease, skew):
        self.set, self.wait = settings, lease + skew + ROUNDS
        self.tenants = {tenant.name: tenant for tenant in settings.tenants}

    def advise(self, now, reports, order):
        stands = order.parts.get(self.name)
        part = stands or {"rates": {}, "owed": {}, "number": 0}
        edges = self._edges(reports)
        owed = self._owed(now, part, edges)
        wished = self.ideal(edges)
        before = {(e, t): rate for e, rates in part["rates"].items() for t, rate in rates.items()}
        wished = {
            flow: before[flow]
            if flow in before and abs(rate - before[flow]) <= CLOSE * max(rate, before[flow])
            else rate
            for flow, rate in wished.items()
        }
        # Who loses, loses at once; that counts as passed until it is known not to be.
        for flow, rate in before.items():
            if rate > wished.get(flow, 0.0) + 1e-9:
                known = owed.get(flow)
                owed[flow] = [max(rate, known[0] if known else 0.0), now + self.wait, part["number"] + 1]
        start = {flow: min(rate, before.get(flow, 0.0)) for flow, rate in wished.items()}
        rates = self._raised(edges, wished, start, owed)
        made = {"rates": _nested(rates), "owed": _nested(owed), "number": part["number"]}
        if (made["rates"], made["owed"]) == (part["rates"], part["owed"]):
            return stands
        return {**made, "number": part["number"] + 1}

    def cut(self, part, edge):
        """What of the part that edge needs: its own rates alone, however many edges there are."""
        return {"rates": {edge: part["rates"].get(edge, {})}, "owed": {}, "number": part["number"]}

    def _edges(self, reports):
        """edge -> (zone, {tenant: units a second asked}, number of the shares it has)"""
        told = {}
        for name in sorted(reports):
            report = reports[name].get(self.name)
            if not isinstance(report, dict) or report.get("zone") not in self.set.zones:
                continue
            asked = report.get("asked")
            if isinstance(asked, dict) and isinstance(report.get("has"), int):
                asked = {
                    t: min(float(rate), self.set.edge)
                    for t, rate in asked.items()
                    if t in self.tenants and isinstance(rate, (int, float)) and 0 < rate < 1e9
                }
                told[name] = report["zone"], asked, report["has"]
        return told

    def _owed(self, now, part, edges):
        """What may still be passed beyond the rates: not any more where the edge has these shares, or its lease is over."""
        left = {}
        for edge, tenants in part["owed"].items():
            has = edges[edge][2] if edge in edges else -1
            for tenant, told in tenants.items():
                if has < told[2] and now < told[1]:
                    left[edge, tenant] = told
        return left

    def _bottlenecks(self, edges, flows):
        keep = 1.0 - self.set.floor
        through = {(e, t): (("zone", edges[e][0]), ("edge", e), ("tenant", t)) for e, t in flows}
        capacity = {("zone", zone): keep * units for zone, units in self.set.zones.items()}
        capacity |= {("edge", e): keep * self.set.edge for e in edges}
        capacity |= {("tenant", t.name): t.cap or float("1e12") for t in self.set.tenants}
        return through, capacity

    def _weights(self, demands):
        total = {}
        for (_, tenant), asked in demands.items():
            total[tenant] = total.get(tenant, 0.0) + asked
        return {(e, t): self.tenants[t].weight * asked / total[t] for (e, t), asked in demands.items()}, total

    def ideal(self, edges):
        """(edge, tenant) -> rate: exact progressive filling of what is asked, guaranteed parts first."""
        demands = {(e, t): max(LEAST, AHEAD * rate) for e, (_, asked, _) in edges.items() for t, rate in asked.items()}
        through, capacity = self._bottlenecks(edges, demands)
        weights, total = self._weights(demands)
        sure = {(e, t): min(asked, self.tenants[t].guaranteed * asked / total[t]) for (e, t), asked in demands.items()}
        first = fill(sure, weights, through, capacity)
        return fill(demands, weights, through, capacity, first)

    def _raised(self, edges, wished, start, owed):
        """As far towards what is wished as fits beside what is owed."""
        through, capacity = self._bottlenecks(edges, wished)
        for flow, (rate, *_) in owed.items():
            edge, tenant = flow
            beyond = max(0.0, rate - start.get(flow, 0.0))
            zone = edges[edge][0] if edge in edges else None
            for bottleneck in (("zone", zone), ("edge", edge), ("tenant", tenant)):
                if bottleneck in capacity:
                    capacity[bottleneck] -= beyond
            if zone is None:
                # Where it is is not known any more: it may be anywhere.
                for name in self.set.zones:
                    capacity["zone", name] -= beyond
        # One that is owed something does not gain meanwhile: it would be owed that too.
        wished = {flow: start[flow] if flow in owed else rate for flow, rate in wished.items()}
        weights, _ = self._weights({flow: max(rate, 1e-6) for flow, rate in wished.items()})
        return fill(wished, weights, through, capacity, start)


def _nested(flows):
    told = {}
    for (edge, tenant), value in sorted(flows.items()):
        told.setdefault(edge, {})[tenant] = value if isinstance(value, list) else round(value, 3)
    return told
