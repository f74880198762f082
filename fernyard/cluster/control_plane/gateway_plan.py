"""The configuration in force as gateways need it."""

from ..common.messages import Plan
from .replica import Replica
from .state import NO_CONFIGURATION


class GatewayPlan:
    """`plan`: of the configuration last published; None while there was none."""

    def __init__(self) -> None:
        self.plan: Plan | None = None

    def update(self, replica: Replica) -> None:
        """The replica has published a state."""
        if replica.state is None:
            return
        id = replica.state.configuration
        body = replica.bodies.content(id)
        if id == NO_CONFIGURATION or body is None or (self.plan is not None and self.plan.id == str(id)):
            return
        # Imported at its first use: the reader is a third of a start, and look-ups are answered before it is needed.
        from . import configuration

        _, parsed = configuration.parse(body)
        self.plan = configuration.plan_of(id, parsed)
