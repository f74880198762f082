"""The calls of operators, clients and other processes of the system (the table is `call_table.CALLS`). Decides nothing."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec
from aiohttp.web_request import BaseRequest

from ..common.errors import ConfigurationConflictError, ConfigurationError
from ..common.logs import ComponentLogger
from ..common.messages import ConfigurationUpdate
from ..common.transport import HttpAnswer, sent_after
from .call_table import Bind, find
from .events import BodyReceived, ConfigurationSubmitted, EvacuationSubmitted, ReadRequested
from .messages import StoredBody, decode_body, encode
from .operator_calls import SEND_AGAIN

if TYPE_CHECKING:
    from .process import ControlPlane

log = ComponentLogger("control-plane")
JSON = {"Content-Type": "application/json"}
encode_json = msgspec.json.encode


class Api:
    """The handlers of all calls. Each takes the request and the parameter of its path."""

    def __init__(self, process: "ControlPlane") -> None:
        """`process`: the control plane that this is a part of."""
        self.process = process

    def handler(self, bind: Bind) -> Callable[[BaseRequest], Awaitable[HttpAnswer]]:
        """The handler of all calls that come to one address."""

        async def handle(request: BaseRequest) -> HttpAnswer:
            found = find(request.method, request.path, bind)
            if found is None:
                return 404, b"", None
            if found.call is None:
                return 405, b"", None
            answer: HttpAnswer = await getattr(self, found.call.handler)(request, found.parameter)
            return answer

        return handle

    # Operators -------------------------------------------------------------------------------------------------------

    async def put_configuration(self, request: BaseRequest, _: str) -> HttpAnswer:
        """PUT /-/config."""
        from . import configuration  # see GatewayPlan.update

        body = await request.read()
        try:
            id, _configuration = configuration.read(body)
        except ConfigurationError as error:
            log.info("A configuration was rejected.", **error.fields())
            return 400, encode_json(error.fields()), JSON
        reply = await self.process.call(lambda ticket: ConfigurationSubmitted(ticket, id, body))
        if reply.status == 409:
            conflict = ConfigurationConflictError(
                "another configuration is held under that number", str(reply.conflicting)
            )
            log.warning("A configuration was rejected.", sent=str(id), **conflict.fields())
            return 409, encode_json(conflict.fields()), JSON
        return reply.status, b"", None

    async def get_configuration(self, request: BaseRequest, _: str) -> HttpAnswer:
        """GET /-/config: the newest configuration, as the operator sent it."""
        reply = await self.process.call(ReadRequested)
        return reply.status, reply.body, JSON if reply.status == 200 else None

    async def evacuate_zone(self, request: BaseRequest, zone: str) -> HttpAnswer:
        """POST /-/evacuate/ZONE."""
        return await self._set_evacuation(request, zone, True)

    async def restore_zone(self, request: BaseRequest, zone: str) -> HttpAnswer:
        """DELETE /-/evacuate/ZONE."""
        return await self._set_evacuation(request, zone, False)

    async def _set_evacuation(self, request: BaseRequest, zone: str, evacuated: bool) -> HttpAnswer:
        process = self.process
        if zone not in process.settings.zones:
            return 404, b"", None
        age = process.now() - sent_after(request)
        reply = await process.call(lambda ticket: EvacuationSubmitted(ticket, zone, evacuated, age))
        if reply.status == SEND_AGAIN:
            log.info("An evacuation may have been sent long ago and is asked for again.", zone=zone, age=round(age, 3))
            host, port = process.settings.binds[Bind.CONTROL.value]
            return reply.status, b"", {"Location": f"http://{host}:{port}{request.rel_url.raw_path}"}
        return reply.status, b"", None

    async def get_status(self, request: BaseRequest, _: str) -> HttpAnswer:
        """GET /-/status: what this control plane knows, for operators."""
        return 200, encode_json(self.process.status()), JSON

    # Clients ---------------------------------------------------------------------------------------------------------

    async def resolve(self, request: BaseRequest, _: str) -> HttpAnswer:
        """GET /-/resolve: addresses of gateways for a client."""
        process, now = self.process, self.process.now()
        gateways = process.registry.gateways or process.discovery.gateways(now)
        zone, region = request.query.get("zone", ""), request.query.get("region", "")
        addresses = process.discovery.resolve(now, zone, region, gateways)
        if addresses is None:
            return 503, b"", None
        ttl = process.discovery.ttl(now, process.replica.voters_last_seen())
        return 200, encode_json({"addrs": addresses, "ttlS": ttl}), JSON

    # Other processes of the system -----------------------------------------------------------------------------------

    async def store_body(self, request: BaseRequest, _: str) -> HttpAnswer:
        """The bytes of a configuration from another replica; idempotent."""
        stored = decode_body(await request.read())
        self.process.handle_event(BodyReceived(stored.id, stored.body))
        return 200, b"", None

    async def get_body(self, request: BaseRequest, _: str) -> HttpAnswer:
        """The bytes of the configuration whose version and digest `id` names."""
        for id, body in self.process.replica.bodies.bodies.items():
            if str(id) == request.query.get("id"):
                return 200, encode(StoredBody(id, body.content)), None
        return 404, b"", None

    async def get_gateway_configuration(self, request: BaseRequest, _: str) -> HttpAnswer:
        """What a gateway with the plan `held` has to know; 503 where no majority was in touch of late."""
        process = self.process
        state, plan = process.replica.served_state(process.now()), process.plan.plan
        if state is None or plan is None:
            return 503, b"", None
        newer = plan if plan.id != request.query.get("held") else None
        return 200, encode(ConfigurationUpdate(state.revision, newer, state.evacuated_zones)), None

    async def get_gateway_registry(self, request: BaseRequest, _: str) -> HttpAnswer:
        """The registry since the version `since`, written TERM.NUMBER."""
        term, number = (int(text) for text in request.query.get("since", "0.0").split("."))
        process = self.process
        return 200, encode(process.registry.since((term, number), process.now())), None
