"""The configuration in force as gateways need it."""

from ..common.errors import ConfigurationError
from ..common.logs import ComponentLogger
from ..common.messages import Plan
from .replica import Replica
from .state import NO_CONFIGURATION

log = ComponentLogger("control-plane")


class GatewayPlan:
    """`plan`: of the configuration last published that gateways can read; None while there was none."""

    def __init__(self) -> None:
        self.plan: Plan | None = None

    def update(self, replica: Replica) -> None:
        """The replica has published a state. A configuration that an earlier build acknowledged and that gateways could not read is
        passed over, so that what else is in force still reaches them."""
        if replica.state is None:
            return
        id = replica.state.configuration
        body = replica.bodies.content(id)
        if id == NO_CONFIGURATION or body is None or (self.plan is not None and self.plan.id == str(id)):
            return
        # Imported at its first use: the reader is a third of a start, and look-ups are answered before it is needed.
        from . import configuration

        try:
            _, parsed = configuration.parse(body)
            plan = configuration.plan_of(id, parsed)
            configuration.check_plan(plan)
        except ConfigurationError as error:
            log.warning("The configuration in force cannot be handed to gateways.", id=str(id), **error.fields())
            return
        self.plan = plan
