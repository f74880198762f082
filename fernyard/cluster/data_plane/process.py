"""Runs one gateway: clients, workers, datagrams, news. Decides nothing: `RequestRouter`, `Ledger` and `Subscriber` do."""

import asyncio
import os
import signal

import aiohttp
import msgspec

from ...log import Counts
from ...settings.limits import Limits
from ..common import rendezvous
from ..common.errors import ClusterError
from ..common.logs import ComponentLogger
from ..common.messages import (
    ConfigurationUpdate,
    Count,
    GatewayHeartbeat,
    HeartbeatReply,
    PeerNotice,
    Total,
    decode_configuration_update,
    decode_registry_update,
    encode,
)
from ..common.settings import read as read_settings
from ..common.transport import Datagrams, serve
from . import events as t
from .listener import ClientListener
from .pacing import Pacer
from .quota import Ledger
from .router import RequestRouter
from .subscription import Subscriber
from .upstreams import WorkerConnections

log = ComponentLogger("data-plane")
BEAT = 0.3  # seconds between beats
WATCHERS = 5  # control planes that watch one gateway
ON_THE_WAY, WIDE = 0.06, 1 << 18  # seconds of the link that one connection may fill; bytes from where it is not bounded
STAY, LAST = 2.2, 0.4  # seconds: after SIGTERM new connections are taken; before SIGKILL all is written


def limits(settings):
    """The gatekeeper's limits, from what this machine may use."""
    sockets = max(64, settings.descriptors - 300)
    buffer = int(settings.link_mbps * 125_000 * ON_THE_WAY)
    return Limits(
        body=1 << 26,
        answer_body=1 << 24,
        clients=sockets // 2,
        clients_unused=sockets // 4,
        workers=sockets // 3,
        workers_known=4096,
        answer=0.5 if buffer >= WIDE else 3.0,
        answer_head=16 * 1024,
        counters=0,
        backlog=512,
        line=16 * 1024,
        lines=128,
        ids=0,
        units=0.0,
        client_idle=15.0,
        whole_req=3.0,
        first_room=0.1,
        sweep=0.25,
        worker_rest=0.01,
        worker_idle=4.5,
        connect=0.4,
        count=0.0,
        counter_silence=0.0,
        counter_pause=0.0,
        counter_owed=0,
        watch=0.0,
        watch_grace=0.0,
        watch_crowd=0.0,
        watch_longest_pause=0.0,
        watch_spread=0.0,
        watch_pause=0.0,
        accept_after_stop=STAY,
        killed=settings.bound("graceS", 5.0),
        longest_wait=60.0,
        grain=0.002,
        flush=0.5,
        buffer=buffer if buffer < WIDE else 0,
    )


class DataPlane:
    def __init__(self, settings):
        self.set, self.loop = settings, asyncio.get_running_loop()
        self.now, self.counts, self.limits = self.loop.time, Counts(), limits(settings)
        self.incarnation = int.from_bytes(os.urandom(6), "big")
        self.router = RequestRouter(self.now(), settings, self.incarnation)
        self.ledger = Ledger(settings.node, self.incarnation)
        self.subscriber = Subscriber(settings.node, settings.zone)
        self.replicas = [ip for ip, _ in settings.seeds]
        link = settings.link_mbps * 125_000 if self.limits.buffer else 0.0
        self.listener = ClientListener(self.limits, self.post, self.counts, Pacer(link))
        self.upstreams = WorkerConnections(self.limits, self.post, Pacer(link))
        self.datagrams = Datagrams(self.heard)
        self.tasks, self.alarm, self.alarm_at, self.leaving = [], None, None, False
        self.stopped = self.loop.create_future()

    async def run(self):
        """Serves until told to stop and all that was taken is answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, lambda: self.stopped.done() or self.stopped.set_result(None))
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.upstreams.start()
        self.session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        await self.datagrams.open(self.set.internal)
        servers = [await serve(self.internal, self.set.internal)]
        if "ready" in self.set.binds:
            servers.append(await serve(self.ready, self.set.binds["ready"]))
        self.listener.listen(self.set.binds["front"])
        beats = self.loop.create_task(self.beats())
        log.info("Data plane is up.", node=self.set.node)
        await self.stopped
        until = self.now() + self.set.bound("graceS", 5.0) - LAST
        self.leaving = self.listener.stopping = True
        self.send_heartbeat()
        log.info("Data plane is shutting down.")
        await asyncio.sleep(min(STAY, max(0.0, until - self.now() - 1.0)))
        await self.listener.close(until)
        beats.cancel()
        for server in servers:
            server.close()
        await self.upstreams.close()
        await self.session.close()
        self.datagrams.close()
        log.info("Data plane has stopped.", sent=self.router.sent, unserved=self.router.unserved)

    def reload(self):
        try:
            settings = read_settings()
        except ClusterError as why:
            return log.warning("The settings were rejected, the previous ones stay in force.", **why.fields())
        self.replicas += [ip for ip, _ in settings.seeds if ip not in self.replicas]
        log.info("The settings were reloaded.")

    # The router ------------------------------------------------------------------------------------------------------

    def post(self, event):
        for order in self.router.step(self.now(), event):
            DO[type(order)](self, order)
        self._set_alarm()

    def _set_alarm(self):
        at = self.router.next_at()
        if at is not None and (self.alarm_at is None or at < self.alarm_at):
            if self.alarm is not None:
                self.alarm.cancel()
            self.alarm_at, self.alarm = at, self.loop.call_at(at + self.limits.grain, self._ring)

    def _ring(self):
        self.alarm = self.alarm_at = None
        self.post(t.Tick())

    def do_send(self, order):
        taken = self.listener.taken.get(order.number)
        if taken is not None:
            taken.tenant = order.tenant
            self.upstreams.send(
                order.number, order.dispatch, order.worker, order.address, taken, int(order.limit * 10_000)
            )

    def do_answer(self, order):
        headers = {"Retry-After": f"{order.retry:.3f}"} if order.retry else None
        self.listener.answer(order.number, order.status, b"", headers)

    def do_relay(self, order):
        self.listener.relay(order.number, order.outcome)

    def do_add(self, order):
        if order.ip is None:
            total = self.ledger.add(self.now(), order.count, self.router.registry.version)
            self.loop.call_soon(self.post, t.Counted(total))
        else:
            self.datagrams.send(order.count, (order.ip, self.set.ports[0]))

    # Datagrams -------------------------------------------------------------------------------------------------------

    def heard(self, message, address):
        kind = type(message)
        if kind is Count:
            total = self.ledger.add(self.now(), message, self.router.registry.version)
            if total is None:
                return
            self.datagrams.send(total, address)
            self.told(address[0], 0, message.registry)
        elif kind is Total:
            self.post(t.Counted(message))
            self.told(address[0], 0, message.registry)
        elif kind is HeartbeatReply:
            self.replicas = message.replicas or self.replicas
            self.subscriber.confirmed(self.now(), message.revision)
            self.told(address[0], message.revision, message.registry)
        elif kind is PeerNotice:
            self.told(message.ip, message.revision, message.registry, True)

    def told(self, ip, revision, registry, home=False):
        for pull in self.subscriber.heard(self.now(), ip, revision, tuple(registry), home):
            self.spawn(self.pull(pull))

    def send_heartbeat(self):
        """Tells the control planes that watch this one how it is."""
        held = self.subscriber.held
        heartbeat = GatewayHeartbeat(
            self.set.node,
            self.incarnation,
            self.set.ip,
            self.set.zone,
            self.set.region,
            ":".join(map(str, self.set.binds["front"])),
            self.router.serves and not self.leaving,
            self.leaving,
            held.revision,
            held.registry,
        )
        for ip in rendezvous.top(self.set.node, self.replicas, WATCHERS):
            self.datagrams.send(heartbeat, (ip, self.set.ports[0]))

    async def beats(self):
        while True:
            try:
                self.send_heartbeat()
                for pull in self.subscriber.due(self.now()):
                    self.spawn(self.pull(pull))
            except Exception:
                log.exception("A beat broke.")
            await asyncio.sleep(BEAT / 2 if not self.router.serves or self.subscriber.since is not None else BEAT)

    # ConfigurationUpdate ------------------------------------------------------------------------------------------------------------

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.append(task)
        task.add_done_callback(self.tasks.remove)

    async def pull(self, pull):
        router, asked_at = self.router, self.now()
        try:
            if pull.configuration:
                held = router.routes.plan.id if router.routes is not None else ""
                told = await self.get(pull, "configuration", {"revision": str(router.revision), "held": held})
                self.post(t.ConfigurationChanged(decode_configuration_update(told)))
                if router.routes is not None:
                    self.listener.caps(router.routes.plan)
            if pull.registry:
                mark = router.registry.version
                told = await self.get(pull, "registry", {"since": f"{mark[0]}.{mark[1]}"})
                self.post(t.RegistryChanged(decode_registry_update(told)))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return self.subscriber.failed(self.now(), pull.ip)  # asked again, of another
        registry = router.registry
        confirmed_at = asked_at if pull.configuration and pull.ip in self.replicas else None
        self.subscriber.got(self.now(), pull.ip, router.revision, registry.version, registry.gateways, confirmed_at)
        notice = PeerNotice(self.set.node, self.set.ip, router.revision, router.registry.version)
        if self.subscriber.home() == self.set.node:
            for _, ip in self.subscriber.neighbours():
                self.datagrams.send(notice, (ip, self.set.ports[0]))

    async def get(self, pull, what, query):
        url = f"http://{pull.ip}:{self.set.ports[0]}/internal/{what}"
        async with self.session.get(url, params=query, timeout=aiohttp.ClientTimeout(total=pull.patience)) as answer:
            body = await answer.read()
            if answer.status != 200:
                raise aiohttp.ClientError(f"{what}: {answer.status}")
            return body

    async def internal(self, request):
        """What a neighbour of the zone asks its home for."""
        if request.path == "/internal/configuration":
            return self.relay_configuration(request)
        if request.path == "/internal/registry":
            term, number = (int(part) for part in request.query.get("since", "0.0").split("."))
            return 200, encode(self.router.registry.since((term, number), self.now())), None
        return 404, b"", None

    def relay_configuration(self, request):
        """503 where no control plane has confirmed of late what is held here: the neighbour asks one itself."""
        if self.router.routes is None or not self.subscriber.may_relay(self.now()):
            return 503, b"", None
        plan = self.router.routes.plan
        wanted = plan if request.query.get("held") != plan.id else None
        return 200, encode(ConfigurationUpdate(self.router.revision, wanted, self.router.evacuated)), None

    async def ready(self, request):
        if request.path != "/-/readyz":
            return 404, b"", None
        return (200 if self.router.serves and not self.leaving else 503), b"", None


DO = {t.Send: DataPlane.do_send, t.Answer: DataPlane.do_answer, t.Relay: DataPlane.do_relay, t.Add: DataPlane.do_add}
