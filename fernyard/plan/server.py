"""One planner as a process: asks in over WebSockets, calls to the counter out; `Planner` decides."""

import asyncio
import os
import secrets
import signal
from itertools import count

import structlog
from aiohttp import WSCloseCode, WSMsgType, web

from ..clock import Clock
from ..counter import Counter, Total
from ..log import Counts
from ..recovery import Answered, Asked, Beat, Bring, Tell
from .planner import Ask, Grant, Planner
from .shape import planner_settings
from .wire import LARGEST, PATH, PROTOCOL, PROTOCOL_2, BadMessage, is_version_2, read_ask, write_grant

log = structlog.get_logger(__name__)
MOST_CONNECTIONS, MOST_OUT = 4096, 64  # of forwarders; asks in hand on one


class PlannerNode:
    """Serves until SIGTERM. `GET /healthz` is 200 from the first call that may be answered to the last."""

    def __init__(self, config, lease, recovery=None, accord=None):
        """`config`: as the gatekeepers' (its `listen` is where asks come in); `lease` in tenths of a millisecond;
        `recovery`: a `Recovery` that stands between the planner and the counter, or None; `accord(clock, counts)` makes its
        `AccordNode`, or None."""
        self.recovery, self.make_accord, self.accord = recovery, accord, None
        self.config, self.counts, self.clock = config, Counts(), Clock()
        # A start of its own: no lease of the process before this one can be taken for one of ours.
        self.planner = Planner(planner_settings(config.settings, secrets.randbits(48), lease))
        self.counter = Counter(config.counter, config.limits, self._total)
        self.waiting, self.keys, self.alarm, self.alarm_at = {}, count(1), None, 0
        self.stopping, self.connections, self.sending = False, {}, {}  # connection -> its asks in hand

    async def run(self):
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stop)
        self.loop.add_signal_handler(signal.SIGUSR1, self.counts.print)
        runner = web.ServerRunner(web.Server(self._handle, access_log=None), handle_signals=False)
        await runner.setup()
        try:
            site = web.TCPSite(runner, *self.config.listen, backlog=self.config.limits.backlog)
            await site.start()
            self.port = site._server.sockets[0].getsockname()[1]
            self.counter.start()
            if self.make_accord is not None:
                self.accord = self.make_accord(self.clock, self.counts)
                self.accord.start()
                self.loop.add_signal_handler(signal.SIGHUP, self.accord.reload)
            self._ring()
            log.info("planner_ready", listen="%s:%d" % (self.config.listen[0], self.port), pid=os.getpid())
            await self.stopped.wait()
            # Asks in hand are answered; what comes meanwhile is turned away and goes to another planner.
            end = self.loop.time() + 1.0
            while (self.waiting or self.sending) and self.loop.time() < end:
                await asyncio.sleep(0.01)
            for socket in list(self.connections):
                await socket.close(code=WSCloseCode.GOING_AWAY)
        finally:
            if self.alarm is not None:
                self.alarm.cancel()
            await runner.cleanup()
            self.counter.close()
            if self.accord is not None:
                await self.accord.close()
        self.counts.print()

    def _stop(self):
        self.stopping = True
        self.stopped.set()

    async def _handle(self, request):
        if request.path == "/healthz" and request.method == "GET":
            return web.Response(status=503 if self.stopping else 200)
        if request.path != PATH or request.method != "GET":
            return self._refused(404, "path")
        if self.stopping or len(self.connections) >= MOST_CONNECTIONS:
            return self._refused(503, "busy")
        # Where there is no order to follow, only version 1 is spoken: whoever asks for more goes on alone.
        known = (PROTOCOL,) if self.accord is None else (PROTOCOL_2, PROTOCOL)
        socket = web.WebSocketResponse(protocols=known, max_msg_size=LARGEST, compress=False)
        if not socket.can_prepare(request) or socket.can_prepare(request).protocol not in known:
            return self._refused(400, "protocol")
        await socket.prepare(request)
        self.connections[socket] = 0
        try:
            await self._receive(socket)
        finally:
            del self.connections[socket]
        return socket

    async def _receive(self, socket):
        """Asks as they come; what is no ask ends the connection."""
        planner = None  # which one the other side said to be
        async for message in socket:
            try:
                if message.type is not WSMsgType.BINARY:
                    raise BadMessage("not binary")
                if socket.ws_protocol == PROTOCOL_2 and is_version_2(message.data):
                    planner = self.accord.hear(message.data, planner, lambda data: self._reply(socket, data))
                    continue
                forwarder, ask, wants = read_ask(message.data)
            except BadMessage:
                self.counts.add("refused", "message")
                await socket.close(code=WSCloseCode.POLICY_VIOLATION)
                return
            if self.stopping or self.connections[socket] >= MOST_OUT:
                self.counts.add("refused", "busy")
                await socket.close(code=WSCloseCode.TRY_AGAIN_LATER)
                return
            self.counts.add("asks")
            self.connections[socket] += 1
            key = next(self.keys)
            self.waiting[key] = socket, ask
            try:
                self._tell(Ask(key, forwarder, ask, wants))
            except Exception:
                # Whatever one ask breaks, all others go on; it is answered with nothing.
                self.counts.add("faults")
                log.exception("ask_fault")
                self._answer(key, ())

    def _answer(self, key, granted):
        socket, ask = self.waiting.pop(key, (None, 0))
        if socket is None or socket not in self.connections:
            return
        self.connections[socket] -= 1
        self._reply(socket, write_grant(ask, granted))

    def _reply(self, socket, data):
        if socket not in self.connections:
            return
        task = self.loop.create_task(self._send(socket, data))
        self.sending[task] = None
        task.add_done_callback(self.sending.pop)

    @staticmethod
    async def _send(socket, data):
        try:
            await socket.send_bytes(data)
        except (ConnectionError, RuntimeError):
            pass  # the forwarder has gone: what it was granted lies still

    def _refused(self, status, why):
        self.counts.add("refused", why)
        response = web.Response(status=status)
        response.force_close()
        return response

    def _total(self, told: Total):
        self.counts.add("called", told.end.value)
        answered = Answered(told.name, told.end, told.total, told.took)
        self._tell(answered) if self.recovery is None else self._mend(answered)

    def _tell(self, told):
        for order in self.planner.step(self.clock(), told):
            if type(order) is Grant:
                self._answer(order.key, order.granted)
            elif self.recovery is not None:
                self._mend(Asked(order.name, order.amount, order.keep))
            else:
                self._call(order)
        due = self.planner.due if self.recovery is None else min(self.planner.due, self.recovery.due)
        if self.alarm is None or due < self.alarm_at:
            if self.alarm is not None:
                self.alarm.cancel()
            self.alarm_at = due
            self.alarm = self.loop.call_later(max(0.001, (due - self.clock()) / 10_000), self._ring)

    def _mend(self, told):
        for order in self.recovery.step(self.clock(), told):
            if type(order) is Bring:
                self._call(order)
            elif type(order) is Tell:
                self._tell(Answered(order.name, order.end, order.total, order.took))
            else:
                self.counts.add("recovery", order.kind)
                log.warning("counter_" + order.kind, figure=round(order.figure, 4))

    def _call(self, order):
        self.counts.add("calls")
        self.counter.call(order.name, order.amount, order.keep)

    def _ring(self):
        self.alarm = None
        if self.recovery is not None:
            self._mend(Beat())
        self._tell(Beat())
