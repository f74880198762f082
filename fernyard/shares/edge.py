"""What an edge lets pass of each tenant, by the agreed shares, without a call for any req. Free of I/O.

A tenant's rate fills a small store; a req that finds it empty is denied at once, before the decisions and the counter hear of
it, so that a denial is a retry that harms nothing. What a share lets pass, quotas and ceilings still decide on. Without an
order the edge passes its floor. Times are whole tenths of a millisecond, units as reqs carry them."""

SECOND = 10_000
TAU = 6_000  # over which what is offered is taken
DEPTH = SECOND // 4  # of the rate: what may pass at once; less denies what comes by chance below its share


class Store:
    __slots__ = ("units", "at", "rate", "asked", "asked_at")

    def __init__(self, now):
        self.units, self.at, self.rate, self.asked, self.asked_at = 0.0, now, 0.0, 0.0, now


class EdgeShares:
    """`zone`: this edge's; `floor`: tenant -> units a second; `tenant_of(customer, plan)`; `holds(now)`: whether an order holds
    (asked at each req: one that stood still past its lease passes its floor)."""

    name = "shares"

    def __init__(self, edge, zone, floor, tenant_of, holds=lambda now: True):
        self.edge, self.zone, self.floor, self.tenant_of, self.holds = edge, zone, floor, tenant_of, holds
        self.rates, self.has, self.stores = {}, -1, {}

    def admits(self, now, customer, plan, units):
        tenant = self.tenant_of(customer, plan)
        store = self.stores.get(tenant)
        if store is None:
            store = self.stores[tenant] = Store(now)
            store.units = self._rate(now, tenant) * DEPTH / SECOND
        store.asked = store.asked * max(0.0, 1.0 - (now - store.asked_at) / TAU) + units
        store.asked_at = now
        rate = self._rate(now, tenant)
        # A rate that has just changed fills what passed since at the lower of the two.
        filled = (now - store.at) / SECOND * min(rate, store.rate or rate)
        store.units = min(max(units, rate * DEPTH / SECOND), store.units + filled)
        store.at, store.rate = now, rate
        if store.units < units:
            return False
        store.units -= units
        return True

    def _rate(self, now, tenant):
        """An order's rates come beside the floor, which is set aside."""
        held = self.rates.get(tenant, 0.0) if self.holds(now) else 0.0
        return held + self.floor.get(tenant, 0.0)

    def obey(self, now, part):
        self.rates = dict((part or {}).get("rates", {}).get(self.edge, {}))
        self.has = -1 if part is None else part["number"]
        return []

    def report(self, now):
        asked = {
            tenant: round(store.asked * max(0.0, 1.0 - (now - store.asked_at) / TAU) * SECOND / TAU, 2)
            for tenant, store in self.stores.items()
        }
        asked = {tenant: rate for tenant, rate in asked.items() if rate >= 0.05}
        return {"zone": self.zone, "has": self.has, "asked": asked}
