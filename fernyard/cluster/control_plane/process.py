"""Runs one control plane: calls, datagrams and the disk. Decides nothing: `Keeper`, `Discovery`, `Registry` and the lease do."""

import asyncio
import os
import signal
from concurrent.futures import ThreadPoolExecutor

import aiohttp
import msgspec

from ..common import lease
from ..common.errors import ClusterError, ConfigurationError, StoreError
from ..common.logs import Part
from ..common.messages import (
    NONE,
    ConfigurationUpdate,
    Core,
    GatewayHeartbeat,
    HeartbeatReply,
    LeaseAsk,
    LeaseGrant,
    ReplicaHeartbeat,
    decode_registry_update,
    encode,
)
from ..common.registry import Registry
from ..common.settings import read as read_settings
from ..common.transport import Datagrams, serve
from . import configuration, keeper as k
from .calls import find
from .discovery import REGISTRY_SAVE_PERIOD, Discovery
from .store import Store

log = Part("control-plane")
ANSWER_WITHIN = 0.85  # a caller goes on to another gatekeeper after a second
BEAT, CALL = 0.2, 1.0  # seconds: between beats, for a call of ours


class ControlPlane:
    def __init__(self, settings):
        self.set, self.loop = settings, asyncio.get_running_loop()
        self.now = self.loop.time
        self.tickets, self.number, self.servers, self.tasks = {}, 0, [], []
        self.store, loaded = None, {}
        if settings.data_dir:
            self.store = Store(settings.data_dir)
            loaded = self.store.load()
        life = int.from_bytes(os.urandom(6), "big")
        self.me = Core(settings.node, settings.ip)
        self.keeper = k.Keeper(
            self.now(),
            self.me,
            settings.voting and self.store is not None,
            settings.bootstrap,
            tuple(ip for ip, _ in settings.seeds),
            loaded,
            life,
        )
        self.discovery = Discovery(self.now(), settings.zones, settings.cloud_rate)
        self.registry, self.plan = Registry(), None
        self.granter = lease.Granter(self.now(), settings.bootstrap and not loaded)
        self.holder = lease.Holder(settings.node)
        self.disk = ThreadPoolExecutor(1)
        self.datagrams = Datagrams(self.heard)
        self.listing, self.fetching, self.stopped = None, None, self.loop.create_future()
        self.registry_saved, self.registry_saved_at = NONE, self.now()
        if "registry" in loaded:
            # Soft state, kept for a quick start alone: until the list is asked again, workers as they were last seen.
            self.registry.follow(decode_registry_update(loaded["registry"]), 0.0)
            self.registry_saved = self.registry.mark

    async def run(self):
        """Serves until told to stop."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, lambda: self.stopped.done() or self.stopped.set_result(None))
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        await self.datagrams.open(self.set.internal)
        self.servers.append(await serve(self.handler("internal"), self.set.internal, 1 << 26))
        for bind in "control", "dir":
            if bind in self.set.binds:
                self.servers.append(await serve(self.handler(bind), self.set.binds[bind], 1 << 26))
        log.info("Control plane is up.", node=self.set.node, version=f"{self.keeper.kept[0]:08x}")
        beats = self.loop.create_task(self.beats())
        await self.stopped
        beats.cancel()
        for server in self.servers:
            server.close()
        await asyncio.sleep(0.2)  # what was asked is answered
        await self.session.close()
        self.datagrams.close()
        log.info("Control plane has stopped.")

    def reload(self):
        try:
            settings = read_settings()
        except ClusterError as why:
            return log.warning("Settings are refused, the old ones stay.", **why.fields())
        self.keeper.seeds = tuple(ip for ip, _ in settings.seeds)
        log.info("Settings are read anew.")

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.append(task)
        task.add_done_callback(self.tasks.remove)

    # Orders of the keeper --------------------------------------------------------------------------------------------

    def tell(self, event):
        for order in self.keeper.step(self.now(), event):
            DO[type(order)](self, order)

    def do_save(self, order):
        self.spawn(self.save(order))

    async def save(self, order):
        kept = True
        try:
            await self.loop.run_in_executor(self.disk, self.store.save, order.area, order.content)
        except StoreError as why:
            log.warning("The disk did not keep a state.", area=order.area, **why.fields())
            kept = False
        if order.area != "registry":
            self.tell(k.Stored(order.area, order.content, kept))

    def do_tell(self, order):
        beat = self.keeper.beat(order.nonce, order.asks, self.registry.mark)
        ips = [order.ip] if order.ip else [core.ip for core in self.keeper.cores()]
        for ip in ips:
            if ip != self.set.ip:
                self.datagrams.send(beat, (ip, self.set.ports[0]))

    def do_push(self, order):
        self.spawn(self.push(order))

    async def push(self, order):
        body = encode(k.Config(order.stamp, order.body))
        try:
            async with self.session.post(f"http://{order.ip}:{self.set.ports[0]}/internal/config", data=body) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # it will see our beat and ask

    def do_pull(self, order):
        self.spawn(self.pull(order))

    async def pull(self, order):
        try:
            async with self.session.get(f"http://{order.ip}:{self.set.ports[0]}/internal/config") as answer:
                if answer.status == 200:
                    held = k.config_decode(await answer.read())
                    self.tell(k.Pulled(tuple(held.stamp), held.body))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            pass  # asked again at the next beat

    def do_reply(self, order):
        waiting = self.tickets.pop(order.ticket, None)
        if waiting is not None and not waiting.done():
            waiting.set_result((order.status, order.body))

    def do_in_force(self, _):
        keeper = self.keeper
        if keeper.force != NONE and (self.plan is None or self.plan.stamp != keeper.force):
            _, told = configuration.read(keeper.force_body)
            self.plan = configuration.plan_of(keeper.force, told)
        self.notify()

    def notify(self):
        """All gateways hear at once that something is new; one that misses it hears at its next beat."""
        heartbeat_reply = self.heartbeat_reply()
        for heartbeat in self.discovery.alive(self.now()):
            self.datagrams.send(heartbeat_reply, (heartbeat.ip, self.set.ports[0]))

    def heartbeat_reply(self):
        keeper = self.keeper
        count = sum(entry[0] for entry in keeper.force_evacuations.values())
        return HeartbeatReply(
            self.set.node, keeper.cores(), keeper.force if self.plan else NONE, count, self.registry.mark
        )

    # Datagrams -------------------------------------------------------------------------------------------------------

    def heard(self, message, address):
        kind = type(message)
        if kind is GatewayHeartbeat:
            self.discovery.heard(self.now(), message)
            self.datagrams.send(self.heartbeat_reply(), address)
        elif kind is ReplicaHeartbeat:
            self.tell(message)
            if message.registry > self.registry.mark and not self.holder.holds(self.now()):
                self.follow(message.ip)
        elif kind is LeaseAsk:
            granted = self.granter.ask(self.now(), message.node, message.epoch)
            self.datagrams.send(LeaseGrant(self.set.node, message.ask, message.epoch, granted), address)
        elif kind is LeaseGrant:
            members = [core.node for core in self.keeper.members]
            if self.holder.granted(self.now(), message.node, message.ask, message.epoch, message.granted, members):
                log.info("The lease on the list is held here.", epoch=self.holder.epoch)

    async def beats(self):
        while True:
            try:
                self.tell(k.Tick())
                self.duty()
                self.save_registry()
            except Exception:
                log.fault("A beat broke.")
            await asyncio.sleep(BEAT)

    def save_registry(self):
        if (
            self.store is not None
            and self.registry.mark != self.registry_saved
            and (self.now() - self.registry_saved_at >= REGISTRY_SAVE_PERIOD)
        ):
            self.registry_saved, self.registry_saved_at = self.registry.mark, self.now()
            self.do_save(k.Save("registry", encode(self.registry.keep())))

    # The duty under the lease ----------------------------------------------------------------------------------------

    def duty(self):
        now, members = self.now(), self.keeper.members
        if not self.keeper.member:
            return
        rank = [core.node for core in sorted(members, key=lambda core: core.node)].index(self.set.node)
        seen = max(self.granter.epoch, self.registry.mark[0], self.discovery.highest)
        ask = self.holder.due(now, rank, self.granter.until, seen)
        if ask is not None:
            if self.granter.ask(now, self.set.node, ask[1]):
                self.holder.granted(now, self.set.node, *ask, True, [core.node for core in members])
            for core in members:
                if core.node != self.set.node:
                    self.datagrams.send(LeaseAsk(self.set.node, *ask), (core.ip, self.set.ports[0]))
        if not self.holder.holds(now):
            return
        if seen > self.holder.epoch:
            self.holder.outrun(seen)
        if self.discovery.list_due(now) and (self.listing is None or self.listing.done()):
            self.discovery.list_asked(now)
            self.listing = self.loop.create_task(self.list_workers())
        self.write()

    def write(self):
        now = self.now()
        if self.holder.holds(now) and self.discovery.listed is not None:
            if self.registry.write(self.holder.epoch, self.discovery.listed, self.discovery.gateways(now)):
                self.notify()

    async def list_workers(self):
        """The platform's list, page by page; what is not whole is not used."""
        token = None
        while True:
            query = {"pageToken": token} if token else None
            try:
                async with self.session.get(
                    f"http://{self.set.cloud[0]}:{self.set.cloud[1]}/workers", params=query
                ) as answer:
                    if answer.status != 200:
                        return self.discovery.list_failed(self.now(), answer.status == 429)
                    told = msgspec.json.decode(await answer.read())
                listed = told["instances"]
                rows = (
                    [dict(zip(listed["cols"], row)) for row in listed["rows"]] if isinstance(listed, dict) else listed
                )
                token = told.get("nextCursor")
                if self.discovery.list_page(self.now(), rows, token):
                    return self.write()
            except (aiohttp.ClientError, TimeoutError, OSError):
                return self.discovery.list_failed(self.now(), False)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as why:
                log.warning("The list of workers cannot be read.", why=repr(why))
                return self.discovery.list_failed(self.now(), False)

    def follow(self, ip):
        if self.fetching is None or self.fetching.done():
            self.fetching = self.loop.create_task(self.fetch_registry(ip))

    async def fetch_registry(self, ip):
        mark = self.registry.mark
        try:
            async with self.session.get(
                f"http://{ip}:{self.set.ports[0]}/internal/registry", params={"since": f"{mark[0]}.{mark[1]}"}
            ) as answer:
                if answer.status == 200 and self.registry.follow(
                    decode_registry_update(await answer.read()), self.now()
                ):
                    self.notify()
                    # The next holder of the lease begins with what the last one saw.
                    self.discovery.listed = dict(self.registry.workers)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            pass  # asked again at the next beat

    # Calls -----------------------------------------------------------------------------------------------------------

    def handler(self, bind):
        async def handle(request):
            found = find(request.method, request.path, bind)
            if found is None:
                return 404, b"", None
            if found[0] is None:
                return 405, b"", None
            return await getattr(self, found[0].handler)(request, found[1])

        return handle

    async def ticket(self, make):
        """The keeper's reply to one call, within the time that its caller waits."""
        self.number += 1
        number, waiting = self.number, self.loop.create_future()
        self.tickets[number] = waiting
        timer = self.loop.call_later(ANSWER_WITHIN, lambda: self.tell(k.Expired(number)))
        again = self.loop.create_task(self.nudge(waiting))
        self.tell(make(number))
        try:
            return await waiting
        finally:
            timer.cancel()
            again.cancel()

    async def nudge(self, waiting):
        """A lost datagram must not cost a caller its answer."""
        while not waiting.done():
            await asyncio.sleep(k.ASK_AGAIN)
            self.tell(k.Tick())

    async def put_config(self, request, _):
        body = await request.read()
        try:
            stamp, _ = configuration.read(body)
        except ConfigurationError as why:
            log.info("A configuration is refused.", **why.fields())
            return 400, encode_json(why.fields()), JSON
        status, _ = await self.ticket(lambda number: k.Put(number, stamp, body))
        return status, b"", None

    async def get_config(self, request, _):
        status, body = await self.ticket(k.Get)
        return status, body, JSON if status == 200 else None

    async def evacuate(self, request, zone):
        return await self.order(zone, True)

    async def take_back(self, request, zone):
        return await self.order(zone, False)

    async def order(self, zone, on):
        if zone not in self.set.zones:
            return 404, b"", None
        status, _ = await self.ticket(lambda number: k.Evacuate(number, zone, on))
        return status, b"", None

    async def status(self, request, _):
        keeper, now = self.keeper, self.now()
        return (
            200,
            encode_json(
                {
                    "node": self.set.node,
                    "version": f"{keeper.force[0]:08x}",
                    "onDisk": f"{keeper.kept[0]:08x}",
                    "counts": keeper.synced,
                    "members": [core.node for core in keeper.members],
                    "heard": {node: round(now - peer.at, 2) for node, peer in keeper.peers.items()},
                    "evacuated": [zone for zone, entry in keeper.force_evacuations.items() if entry[2]],
                    "listHere": self.holder.holds(now),
                    "registry": list(self.registry.mark),
                    "workers": len(self.registry.workers),
                    "gateways": [gateway.node for gateway in self.registry.gateways.values()],
                }
            ),
            JSON,
        )

    async def resolve(self, request, _):
        gateways = self.registry.gateways or self.discovery.gateways(self.now())
        found = self.discovery.resolve(
            self.now(), request.query.get("zone", ""), request.query.get("region", ""), gateways
        )
        if found is None:
            return 503, b"", None
        ttl = self.discovery.ttl(self.now(), [peer.at for peer in self.keeper.peers.values()])
        return 200, encode_json({"addrs": found, "ttlS": ttl}), JSON

    async def internal_store(self, request, _):
        held = k.config_decode(await request.read())
        self.tell(k.Pulled(tuple(held.stamp), held.body))
        return 200, b"", None

    async def internal_config(self, request, _):
        keeper = self.keeper
        return (200, encode(k.Config(keeper.config, keeper.body)), None) if keeper.config != NONE else (404, b"", None)

    async def internal_news(self, request, _):
        version, digest = (int(part) for part in request.query.get("since", "0.0").split("."))
        plan = self.plan if self.plan is not None and self.plan.stamp > (version, digest) else None
        return 200, encode(ConfigurationUpdate(plan, self.keeper.force_evacuations)), None

    async def internal_registry(self, request, _):
        epoch, number = (int(part) for part in request.query.get("since", "0.0").split("."))
        return 200, encode(self.registry.since((epoch, number), self.now())), None


JSON = {"Content-Type": "application/json"}
encode_json = msgspec.json.encode
DO = {
    k.Save: ControlPlane.do_save,
    k.Tell: ControlPlane.do_tell,
    k.Push: ControlPlane.do_push,
    k.Pull: ControlPlane.do_pull,
    k.Reply: ControlPlane.do_reply,
    k.InForce: ControlPlane.do_in_force,
}
