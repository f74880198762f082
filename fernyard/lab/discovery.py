"""An emulated discovery service on loopback: `GET /v1/servers` with the whole list, and watches with `since`
and `timeout_ms` that wait for something newer, as the protocol page gives them. `change()` scripts the
roster."""

import asyncio
import json

from aiohttp import web

from .loopback import LoopbackServer

LONGEST_WATCH = 60.0


class EmulatedDiscovery(LoopbackServer):
    """Holds instances by id with the generation each last changed in; `told` records (loop time, generation,
    id, lifecycle) of every change, the time from which a drain counts."""

    def __init__(self, port=0):
        super().__init__(port)
        self.generation, self.instances, self.changed, self.told, self.news = 1, {}, {}, [], None

    async def start(self):
        self.news = asyncio.Event()
        return await super().start()

    def change(self, worker, address=None, lifecycle="ready", zone="here", cell=1, started_ms=0):
        """Sets one instance; `lifecycle` "ready", "draining" or "gone". Wakes every watch."""
        self.generation += 1
        kept = self.instances.get(worker, {})
        self.instances[worker] = {
            "instanceId": worker,
            "hostPort": address or kept.get("hostPort"),
            "zone": zone,
            "machineType": "m1",
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_ms,
        }
        self.changed[worker] = self.generation
        self.told.append((self.loop.time() if self.loop else 0.0, self.generation, worker, lifecycle))
        if self.news is not None:
            self.news.set()
            self.news = asyncio.Event()

    def listed(self):
        return [entry for entry in self.instances.values() if entry["lifecycle"] != "gone"]

    async def handle(self, request):
        if request.path != "/v1/servers" or request.method != "GET":
            return web.Response(status=404)
        since = request.query.get("since")
        if since is None:
            return self._body(True, self.listed())
        try:
            since = int(since)
            wait = min(int(request.query.get("timeout_ms", "0")) / 1000, LONGEST_WATCH)
        except ValueError:
            return web.Response(status=400)
        if since >= self.generation:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except TimeoutError:
                pass
        news = [self.instances[w] for w, generation in self.changed.items() if generation > since]
        return self._body(False, news)

    def _body(self, whole, instances):
        body = {"generation": self.generation, "reset": whole, "instances": instances}
        return web.Response(body=json.dumps(body).encode(), content_type="application/json")
