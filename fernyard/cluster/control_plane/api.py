"""The calls of operators, clients and other processes of the system (the table stands in `calls.py`). Decides nothing."""

import msgspec

from ..common.errors import ConfigurationConflictError, ConfigurationError
from ..common.logs import ComponentLogger
from ..common.messages import ConfigurationUpdate
from . import events
from .call_table import find
from .messages import StoredBody, decode_body, encode

log = ComponentLogger("control-plane")
JSON = {"Content-Type": "application/json"}
encode_json = msgspec.json.encode


class Api:
    def __init__(self, process):
        """`process`: the ControlPlane that this is a part of."""
        self.process = process

    def handler(self, bind):
        """The handler of all calls that come to one address."""

        async def handle(request):
            found = find(request.method, request.path, bind)
            if found is None:
                return 404, b"", None
            call, rest = found
            if call is None:
                return 405, b"", None
            return await getattr(self, call.handler)(request, rest)

        return handle

    # Operators -------------------------------------------------------------------------------------------------------

    async def put_config(self, request, _):
        from . import configuration  # see ControlPlane.do_publish

        body = await request.read()
        try:
            id, _ = configuration.read(body)
        except ConfigurationError as why:
            log.info("A configuration is refused.", **why.fields())
            return 400, encode_json(why.fields()), JSON
        reply = await self.process.call(lambda ticket: events.ConfigurationSubmitted(ticket, id, body))
        if reply.status == 409:
            why = ConfigurationConflictError("another configuration is held under that number", str(reply.taken))
            log.warning("A configuration is refused.", sent=str(id), **why.fields())
            return 409, encode_json(why.fields()), JSON
        return reply.status, b"", None

    async def get_config(self, request, _):
        reply = await self.process.call(events.ReadRequested)
        return reply.status, reply.body, JSON if reply.status == 200 else None

    async def evacuate(self, request, zone):
        return await self._order(zone, True)

    async def take_back(self, request, zone):
        return await self._order(zone, False)

    async def _order(self, zone, on):
        if zone not in self.process.set.zones:
            return 404, b"", None
        reply = await self.process.call(lambda ticket: events.EvacuationSubmitted(ticket, zone, on))
        return reply.status, b"", None

    async def status(self, request, _):
        return 200, encode_json(self.process.status()), JSON

    # Clients ---------------------------------------------------------------------------------------------------------

    async def resolve(self, request, _):
        process, now = self.process, self.process.now()
        gateways = process.registry.gateways or process.discovery.gateways(now)
        zone, region = request.query.get("zone", ""), request.query.get("region", "")
        found = process.discovery.resolve(now, zone, region, gateways)
        if found is None:
            return 503, b"", None
        ttl = process.discovery.ttl(now, process.replica.members_heard())
        return 200, encode_json({"addrs": found, "ttlS": ttl}), JSON

    # Other processes of the system -----------------------------------------------------------------------------------

    async def store_body(self, request, _):
        """The bytes of a configuration from another replica; harmless when doubled."""
        stored = decode_body(await request.read())
        self.process.tell(events.BodyReceived(stored.id, stored.body))
        return 200, b"", None

    async def body(self, request, _):
        """The bytes of the configuration whose number and digest `id` names."""
        for id, held in self.process.replica.bodies.held.items():
            if str(id) == request.query.get("id"):
                return 200, encode(StoredBody(id, held.content)), None
        return 404, b"", None

    async def gateway_configuration(self, request, _):
        """What a gateway at `revision` with the plan `held` has to know; 503 where no majority was met of late."""
        process = self.process
        state = process.replica.served(process.now())
        if state is None or process.plan is None:
            return 503, b"", None
        wanted = process.plan if process.plan.id != request.query.get("held") else None
        return 200, encode(ConfigurationUpdate(state.revision, wanted, state.evacuated)), None

    async def gateway_registry(self, request, _):
        term, number = (int(part) for part in request.query.get("since", "0.0").split("."))
        process = self.process
        return 200, encode(process.registry.since((term, number), process.now())), None
