"""An emulated Eureka registry on loopback, written from its public REST description: `GET /eureka/apps`,
`/eureka/apps/{app}` and `/eureka/apps/delta`, JSON or XML by `Accept`, with `apps__hashcode` and `actionType`.

It takes the roster as `EmulatedDiscovery` does (`change`), and plays a registry's failures (`set_fault`): unreachable
(its port is closed), slow (answers held), stale (serves the list of the last mark), lossy (every other change is left
out of its deltas, so that the hashcode tells), all-down (every instance is DOWN).
"""

import asyncio
import json
from xml.sax.saxutils import escape

from aiohttp import web

from ..discovery.eureka import hashcode
from .loopback import HOST, LoopbackServer

STATUSES = {"ready": "UP", "draining": "OUT_OF_SERVICE", "gone": "DELETED", "down": "DOWN", "starting": "STARTING"}
KEPT = 180.0  # seconds that a change stays in the deltas


class RegistryModel:
    """What a registry holds and says, free of I/O. `told` records (time, version, worker, lifecycle) of every change, as
    the rule checks want them; `calls` counts answers by kind. Stamps are the registry's own count of milliseconds, which
    never stands still. Times in seconds on the caller's clock."""

    def __init__(self, app="LAB"):
        self.app, self.instances, self.deltas, self.told = app, {}, [], []
        self.calls = {"full": 0, "delta": 0, "app": 0}
        self.fault, self.delay, self.version, self.marked, self.odd = "none", 0.0, 0, None, False

    def change(self, now, worker, address=None, lifecycle="ready", zone="here", cell=1, started_ms=0):
        """Sets one instance's status; "gone" deletes it."""
        self.version += 1
        status, kept = STATUSES[lifecycle], self.instances.get(worker, {})
        host, _, port = (address or kept.get("address") or "").rpartition(":")
        entry = {
            "id": worker,
            "address": f"{host}:{port}",
            "status": status,
            "zone": zone,
            "cell": cell,
            "started": started_ms,
            "stamp": 1_700_000_000_000 + self.version,
            "action": "ADDED" if not kept else "MODIFIED",
        }
        if status == "DELETED":
            self.instances.pop(worker, None)
            entry = {**entry, "status": kept.get("status", "UP"), "action": "DELETED"}
        else:
            self.instances[worker] = entry
        self.odd = not self.odd
        if self.fault != "lossy" or self.odd:
            self.deltas = [(at, told) for at, told in self.deltas if now - at < KEPT] + [(now, entry)]
        self.told.append((now, self.version, worker, lifecycle))

    def mark(self):
        """Keeps the list as it is for a later "stale"."""
        self.marked = {name: dict(entry) for name, entry in self.instances.items()}

    def answer(self, path, xml=False):
        """The body of an answer, or None where there is no such path."""
        instances = dict(self.instances)
        if self.fault == "stale" and self.marked is not None:
            instances = self.marked
        if self.fault == "all-down":
            instances = {
                name: {**entry, "status": "DOWN", "stamp": entry["stamp"] + 1000} for name, entry in instances.items()
            }
        if path == "/eureka/apps/delta":
            kind, shown = "delta", [entry for _, entry in self.deltas]
            if self.fault == "stale" and self.marked is not None:
                shown = []
            if self.fault == "all-down":
                shown = [{**entry, "action": "MODIFIED"} for entry in instances.values()]
        elif path == "/eureka/apps":
            kind, shown = "full", list(instances.values())
        elif path == f"/eureka/apps/{self.app}":
            kind, shown = "app", list(instances.values())
        else:
            return None
        self.calls[kind] += 1
        code = hashcode(entry["status"] for entry in instances.values())
        return self._xml(shown, code).encode() if xml else json.dumps(self._json(shown, code)).encode()

    def _json(self, shown, code):
        told = [
            {
                "instanceId": e["id"],
                "hostName": HOST,
                "app": self.app,
                "ipAddr": e["address"].rpartition(":")[0],
                "status": e["status"],
                "overriddenstatus": "UNKNOWN",
                "port": {"$": int(e["address"].rpartition(":")[2]), "@enabled": "true"},
                "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
                "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90, "serviceUpTimestamp": e["started"]},
                "metadata": {"zone": e["zone"], "cell": str(e["cell"])},
                "lastUpdatedTimestamp": str(e["stamp"]),
                "lastDirtyTimestamp": str(e["stamp"]),
                "actionType": e["action"],
            }
            for e in shown
        ]
        # One instance stands alone, not in a list, as some serializers have it.
        app = {"name": self.app, "instance": told[0] if len(told) == 1 else told}
        return {"applications": {"versions__delta": "1", "apps__hashcode": code, "application": [app] if told else []}}

    def _xml(self, shown, code):
        instances = "".join(
            f"<instance><instanceId>{escape(e['id'])}</instanceId><hostName>{HOST}</hostName><app>{self.app}</app>"
            f"<ipAddr>{e['address'].rpartition(':')[0]}</ipAddr><status>{e['status']}</status>"
            f"<overriddenstatus>UNKNOWN</overriddenstatus>"
            f'<port enabled="true">{e["address"].rpartition(":")[2]}</port>'
            f"<leaseInfo><serviceUpTimestamp>{e['started']}</serviceUpTimestamp></leaseInfo>"
            f"<metadata><zone>{escape(e['zone'])}</zone><cell>{e['cell']}</cell></metadata>"
            f"<lastUpdatedTimestamp>{e['stamp']}</lastUpdatedTimestamp>"
            f"<lastDirtyTimestamp>{e['stamp']}</lastDirtyTimestamp><actionType>{e['action']}</actionType></instance>"
            for e in shown
        )
        app = f"<application><name>{self.app}</name>{instances}</application>" if instances else ""
        return (
            f"<applications><versions__delta>1</versions__delta><apps__hashcode>{code}</apps__hashcode>"
            f"{app}</applications>"
        )


class EmulatedEureka(LoopbackServer, RegistryModel):
    """The model behind a port of loopback."""

    def __init__(self, port=0, app="LAB"):
        LoopbackServer.__init__(self, port)
        RegistryModel.__init__(self, app)

    def change(self, worker, *told, **other):
        super().change(self.loop.time(), worker, *told, **other)

    async def set_fault(self, fault, delay=0.0):
        """Takes `fault` from now on ("none": well again); "mark" keeps the list for a later "stale"."""
        if fault == "mark":
            return self.mark()
        before, self.fault, self.delay = self.fault, fault, delay
        if fault == "unreachable":
            await self.vanish()
        elif before == "unreachable":
            await self.listen()
        return None

    async def handle(self, request):
        xml = "xml" in request.headers.get("Accept", "")
        body = self.answer(request.path.rstrip("/"), xml) if request.method == "GET" else None
        if body is None:
            return web.Response(status=404)
        if self.fault == "slow":
            await asyncio.sleep(self.delay)
        return web.Response(body=body, content_type="application/xml" if xml else "application/json")
