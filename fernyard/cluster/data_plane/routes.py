"""Which route, tenant and service a request is for. Free of I/O."""

from collections.abc import Sequence

from ..common.messages import Plan, Route, Tenant


class Routes:
    """A plan, ready for look-ups."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.services = {service.name: service for service in plan.services}
        # Longest prefix first; of routes under one prefix the last listed.
        self.hosts = {
            host: sorted(routes[::-1], key=lambda route: -len(route.prefix))  # noqa: C415  # a stable sort: order counts
            for host, routes in plan.hosts.items()
        }

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path, or None."""
        host = host.lower()
        routes: Sequence[Route] | None = self.hosts.get(host)
        if routes is None:
            routes = self.hosts.get(host.partition(":")[0], ())
        path = path.partition("?")[0]
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def tenant(self, key: str | None) -> Tenant | None:
        """The tenant that the key belongs to, or None."""
        index = self.plan.keys.get(key) if key is not None else None
        return None if index is None else self.plan.tenants[index]


def allowed_regions(route: Route, tenant: Tenant | None) -> list[str] | None:
    """Regions that may serve it, or None for all; where route and tenant have homes, both bind."""
    if tenant is None or not tenant.homes:
        return route.homes or None
    if not route.homes:
        return tenant.homes
    return [region for region in route.homes if region in tenant.homes]


def choose_service(route: Route, chance: float) -> str:
    """One service of the route's split by weight; `chance` in [0, 1)."""
    if len(route.split) == 1:
        return route.split[0][0]
    point = chance * sum(weight for _, weight in route.split)
    for service, weight in route.split:
        point -= weight
        if point < 0:
            return service
    return next((service for service, weight in reversed(route.split) if weight > 0), route.split[-1][0])
