"""Runs one switchboard: clients, workers, datagrams, news. Decides nothing: `Switch`, `Ledger` and `Follower` do."""

import asyncio
import os
import signal

import aiohttp
import msgspec

from ...log import Counts
from ...settings.limits import Limits
from ..trunk import rendezvous
from ..trunk.errors import ExchangeError
from ..trunk.logs import Part
from ..trunk.messages import (NONE, Core, Count, Hello, News, Notice, Total, Welcome, board_decode, encode, news_decode)
from ..trunk.settings import read as read_settings
from ..trunk.wire import Datagrams, serve
from . import types as t
from .follow import Follower
from .front import Front
from .lines import Lines
from .pace import Pace
from .quota import Ledger
from .switch import Switch

log = Part("switchboard")
BEAT, PULL = 0.3, 0.8               # seconds: between beats, for a pull
WATCHERS = 5                        # control planes that watch one switchboard
ON_THE_WAY, WIDE = 0.06, 1 << 18    # seconds of the link that one connection may fill; bytes from where it is not bounded
STAY, LAST = 2.2, 0.4               # seconds: after SIGTERM new connections are taken; before SIGKILL all is written


def limits(settings):
    """The gatekeeper's limits, from what this machine may use."""
    sockets = max(64, settings.descriptors - 300)
    buffer = int(settings.link_mbps * 125_000 * ON_THE_WAY)
    return Limits(
        body=1 << 26, answer_body=1 << 24, clients=sockets // 2, clients_unused=sockets // 4, workers=sockets // 3,
        workers_known=4096, answer=0.5 if buffer >= WIDE else 3.0, answer_head=16 * 1024, counters=0, backlog=512, line=16 * 1024, lines=128, ids=0,
        units=0.0, client_idle=15.0, whole_req=3.0, first_room=0.1, sweep=0.25, worker_rest=0.01, worker_idle=4.5,
        connect=0.4, count=0.0, counter_silence=0.0, counter_pause=0.0, counter_owed=0, watch=0.0, watch_grace=0.0,
        watch_crowd=0.0, watch_longest_pause=0.0, watch_spread=0.0, watch_pause=0.0, accept_after_stop=STAY,
        killed=settings.bound("graceS", 5.0), longest_wait=60.0, grain=0.002, flush=0.5,
        buffer=buffer if buffer < WIDE else 0)


class Switchboard:
    def __init__(self, settings):
        self.set, self.loop = settings, asyncio.get_running_loop()
        self.now, self.counts, self.limits = self.loop.time, Counts(), limits(settings)
        self.life = int.from_bytes(os.urandom(6), "big")
        self.switch = Switch(self.now(), settings, self.life)
        self.ledger = Ledger()
        self.follower = Follower(settings.node, settings.zone)
        self.cores = [Core(f"seed-{ip}", ip) for ip, _ in settings.seeds]
        link = settings.link_mbps * 125_000 if self.limits.buffer else 0.0
        self.front = Front(self.limits, self.post, self.counts, Pace(link))
        self.lines = Lines(self.limits, self.post, Pace(link))
        self.datagrams = Datagrams(self.heard)
        self.tasks, self.alarm, self.alarm_at, self.leaving = [], None, None, False
        self.stopped = self.loop.create_future()

    async def run(self):
        """Serves until told to stop and all that was taken is answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, lambda: self.stopped.done() or self.stopped.set_result(None))
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.lines.start()
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=PULL), cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"))
        await self.datagrams.open(self.set.trunk)
        servers = [await serve(self.trunk, self.set.trunk)]
        if "ready" in self.set.binds:
            servers.append(await serve(self.ready, self.set.binds["ready"]))
        self.front.listen(self.set.binds["front"])
        beats = self.loop.create_task(self.beats())
        log.info("Data plane is up.", node=self.set.node)
        await self.stopped
        until = self.now() + self.set.bound("graceS", 5.0) - LAST
        self.leaving = self.front.stopping = True
        self.greet()
        log.info("Data plane leaves.")
        await asyncio.sleep(min(STAY, max(0.0, until - self.now() - 1.0)))
        await self.front.close(until)
        beats.cancel()
        for server in servers:
            server.close()
        await self.lines.close()
        await self.session.close()
        self.datagrams.close()
        log.info("Data plane has stopped.", sent=self.switch.sent, unserved=self.switch.unserved)

    def reload(self):
        try:
            settings = read_settings()
        except ExchangeError as why:
            return log.warning("Settings are refused, the old ones stay.", **why.fields())
        known = [core.ip for core in self.cores]
        self.cores += [Core(f"seed-{ip}", ip) for ip, _ in settings.seeds if ip not in known]
        log.info("Settings are read anew.")

    # The switch ------------------------------------------------------------------------------------------------------

    def post(self, event):
        for order in self.switch.step(self.now(), event):
            DO[type(order)](self, order)
        self._set_alarm()

    def _set_alarm(self):
        at = self.switch.next_at()
        if at is not None and (self.alarm_at is None or at < self.alarm_at):
            if self.alarm is not None:
                self.alarm.cancel()
            self.alarm_at, self.alarm = at, self.loop.call_at(at + self.limits.grain, self._ring)

    def _ring(self):
        self.alarm = self.alarm_at = None
        self.post(t.Tick())

    def do_send(self, order):
        taken = self.front.taken.get(order.number)
        if taken is not None:
            taken.tenant = order.tenant
            self.lines.send(order.number, order.dispatch, order.worker, order.address, taken, int(order.limit * 10_000))

    def do_answer(self, order):
        headers = {"Retry-After": f"{order.retry:.3f}"} if order.retry else None
        self.front.answer(order.number, order.status, b"", headers)

    def do_relay(self, order):
        self.front.relay(order.number, order.outcome)

    def do_add(self, order):
        if order.ip is None:
            total = self.ledger.add(self.now(), order.count, self.switch.board.mark)
            self.loop.call_soon(self.post, t.Counted(total))
        else:
            self.datagrams.send(order.count, (order.ip, self.set.ports[0]))

    # Datagrams -------------------------------------------------------------------------------------------------------

    def heard(self, message, address):
        kind = type(message)
        if kind is Count:
            self.datagrams.send(self.ledger.add(self.now(), message, self.switch.board.mark), address)
            self.told(address[0], NONE, 0, message.board)
        elif kind is Total:
            self.post(t.Counted(message))
            self.told(address[0], NONE, 0, message.board)
        elif kind is Welcome:
            self.cores = message.cores or self.cores
            self.told(address[0], message.config, message.evacuations, message.board)
        elif kind is Notice:
            self.told(message.ip, message.config, message.evacuations, message.board, True)

    def told(self, ip, config, evacuations, board, home=False):
        for pull in self.follower.heard(self.now(), ip, tuple(config), evacuations, tuple(board), home):
            self.spawn(self.pull(pull))

    def greet(self):
        """Tells the control planes that watch this one how it is."""
        held = self.follower.held
        hello = Hello(self.set.node, self.life, self.set.ip, self.set.zone, self.set.region,
                      ":".join(map(str, self.set.binds["front"])), self.switch.serves and not self.leaving, self.leaving,
                      held.config, held.board)
        by_ip = {core.ip: core for core in self.cores}
        for ip in rendezvous.few(self.set.node, list(by_ip), WATCHERS):
            self.datagrams.send(hello, (ip, self.set.ports[0]))

    async def beats(self):
        while True:
            try:
                self.greet()
                for pull in self.follower.due(self.now()):
                    self.spawn(self.pull(pull))
            except Exception:
                log.fault("A beat broke.")
            await asyncio.sleep(BEAT / 2 if not self.switch.serves or self.follower.since is not None else BEAT)

    # News ------------------------------------------------------------------------------------------------------------

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.append(task)
        task.add_done_callback(self.tasks.remove)

    async def pull(self, pull):
        try:
            if pull.plan:
                stamp = self.follower.held.config
                self.post(t.Planned(news_decode(await self.get(pull.ip, "news", stamp))))
                if self.switch.routes is not None:
                    self.front.caps(self.switch.routes.plan)
            if pull.board:
                self.post(t.Boarded(board_decode(await self.get(pull.ip, "board", self.switch.board.mark))))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return                              # asked again, of another
        switch = self.switch
        stamp = switch.routes.plan.stamp if switch.routes is not None else NONE
        count = sum(entry[0] for entry in switch.entries.values())
        self.follower.got(self.now(), pull.ip, tuple(stamp), count, switch.board.mark, switch.board.desks)
        notice = Notice(self.set.node, self.set.ip, tuple(stamp), count, switch.board.mark)
        if self.follower.home() == self.set.node:
            for _, ip in self.follower.neighbours():
                self.datagrams.send(notice, (ip, self.set.ports[0]))

    async def get(self, ip, what, since):
        async with self.session.get(f"http://{ip}:{self.set.ports[0]}/trunk/{what}",
                                    params={"since": f"{since[0]}.{since[1]}"}) as answer:
            body = await answer.read()
            if answer.status != 200:
                raise aiohttp.ClientError(f"{what}: {answer.status}")
            return body

    async def trunk(self, request):
        """What a neighbour of the zone asks its home for."""
        first, second = (int(part) for part in request.query.get("since", "0.0").split("."))
        if request.path == "/trunk/news":
            plan = self.switch.routes.plan if self.switch.routes is not None else None
            plan = plan if plan is not None and tuple(plan.stamp) > (first, second) else None
            return 200, encode(News(plan, self.switch.entries)), None
        if request.path == "/trunk/board":
            return 200, encode(self.switch.board.since((first, second), self.now())), None
        return 404, b"", None

    async def ready(self, request):
        if request.path != "/-/readyz":
            return 404, b"", None
        return (200 if self.switch.serves and not self.leaving else 503), b"", None


DO = {t.Send: Switchboard.do_send, t.Answer: Switchboard.do_answer, t.Relay: Switchboard.do_relay,
      t.Add: Switchboard.do_add}
