"""Runs one gateway: composes its parts and connects them to the sockets and the signals.

Decides nothing: `RequestRouter`, `CounterTable` and `Subscriber` do.
"""

import asyncio
import os
import signal
from collections.abc import Coroutine
from typing import Any, assert_never

from aiohttp.web_request import BaseRequest

from ...log import Counts
from ..common.errors import ClusterError
from ..common.logs import ComponentLogger
from ..common.messages import (
    ConfigurationUpdate,
    Count,
    GatewayHeartbeat,
    HeartbeatReply,
    LeaseReply,
    LeaseRequest,
    PeerNotice,
    Total,
    encode,
)
from ..common.settings import Settings, read as read_settings
from ..common.transport import Address, Datagrams, HttpAnswer, serve
from ..early_signals import ignore_late_signals
from .commands import AnswerRequest, CancelAttempt, Command, ForwardRequest, RelayAnswer, SendCount
from .control_plane_directory import ControlPlaneDirectory
from .counter import CounterTable
from .events import ConfigurationChanged, CountAnswered, RegistryChanged, RouterEvent, Tick
from .limits import ACCEPT_AFTER_STOP, BYTES_PER_MBIT, answer_budget, limits, request_budget
from .listener import ClientListener
from .metrics import METRICS_PATH, METRICS_PORT, render
from .pacing import Pacer
from .router import RequestRouter
from .subscription import Pull, Subscriber, Versions
from .update_client import FETCH_ERRORS, UpdateClient
from .worker_connections import WorkerConnections

log = ComponentLogger("data-plane")
# Times in seconds.
HEARTBEAT_INTERVAL = 0.3
CATCH_UP_INTERVAL = HEARTBEAT_INTERVAL / 2  # while something is missing here
REREAD_INTERVAL = 2.0  # of the settings file, while no control plane is found
LAST_ANSWERS = 0.4  # before the kill, all is written
LAST_ACCEPTS = 1.0  # before that, no more connections are taken
UNITS_PER_SECOND = 10_000  # the worker connections count tenths of a millisecond


class DataPlane:
    """One gateway; made within a running loop, then `run`."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.loop = settings, asyncio.get_running_loop()
        self.counts, self.limits = Counts(), limits(settings)
        self.incarnation = int.from_bytes(os.urandom(6), "big")
        self.router = RequestRouter(self.now(), settings, self.incarnation)
        self.counter = CounterTable(settings.node, self.incarnation)
        self.subscriber = Subscriber(settings.node, settings.zone)
        seeds = [ip for ip, _ in settings.seeds]
        self.control_planes = ControlPlaneDirectory(self.now(), settings.node, seeds, self.router.random)
        link = settings.link_mbps * BYTES_PER_MBIT if self.limits.buffer else 0.0
        bodies, answers = request_budget(settings), answer_budget(settings)
        self.listener = ClientListener(self.limits, self.handle_event, self.counts, Pacer(link), bodies)
        self.workers = WorkerConnections(self.limits, self.handle_event, Pacer(link), answers)
        self.datagrams = Datagrams(self._on_message)
        self.updates = UpdateClient(settings.ports[0])
        self._reread_at = self.now() + REREAD_INTERVAL
        self.draining = False
        self.holds_plan_in_force = True  # false while the last update had one that could not be read
        self._tasks: set[asyncio.Task[None]] = set()  # referred to, or they may be collected before they end
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float | None = None
        self._stop_requested = asyncio.Event()

    def now(self) -> float:
        """Seconds of the steady clock."""
        return self.loop.time()

    # Start and stop --------------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serves until SIGTERM, and until all that was taken is answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.workers.start()
        self.updates.open()
        await self.datagrams.open(self.settings.internal)
        servers = [await serve(self._handle_internal, self.settings.internal)]
        if "ready" in self.settings.binds:
            servers.append(await serve(self._handle_ready, self.settings.binds["ready"]))
        servers += await self._serve_metrics()
        self.listener.listen(self.settings.binds["front"])
        heartbeats = self.loop.create_task(self._send_heartbeats())
        log.info("Data plane is up.", node=self.settings.node)
        await self._stop_requested.wait()
        await self._drain()
        heartbeats.cancel()
        for server in servers:
            server.close()
        await self.workers.close()
        await self.updates.close()
        self.datagrams.close()
        self._log_end()
        ignore_late_signals()

    def _log_end(self) -> None:
        metrics = self.router.metrics
        log.info(
            "Data plane has stopped.",
            sent=metrics.forwarded,
            unserved=metrics.unserved,
            clients_gone=dict(metrics.clients_gone),
            abandoned=dict(metrics.abandoned),
            longest_abandoned=round(metrics.longest_abandoned, 3),
        )

    async def _drain(self) -> None:
        """Clients are sent elsewhere; what still comes for a while is answered."""
        until = self.now() + self.settings.bound("graceS", 5.0) - LAST_ANSWERS
        self.draining = self.listener.stopping = True
        self._send_heartbeat()
        log.info("Data plane is shutting down.")
        await asyncio.sleep(min(ACCEPT_AFTER_STOP, max(0.0, until - self.now() - LAST_ACCEPTS)))
        await self.listener.close(until)
        await self.workers.finish(until)  # what may not be repeated goes on without its client

    def _reload(self) -> None:
        """SIGHUP: reads the settings again; a bad file changes nothing."""
        try:
            settings = read_settings()
        except ClusterError as error:
            log.warning("The settings were rejected, the previous ones stay in force.", **error.fields())
            return
        self.control_planes.add_seeds([ip for ip, _ in settings.seeds])
        log.info("The settings were reloaded.")

    def _reread_seeds(self) -> None:
        """The settings file may change without a signal: while no control plane is found, it is looked for new seeds."""
        now = self.now()
        if not self.control_planes.is_lost(now) or now < self._reread_at:
            return
        self._reread_at = now + REREAD_INTERVAL
        try:
            settings = read_settings()
        except ClusterError:
            return  # said at SIGHUP, and what is known stays
        self.control_planes.add_seeds([ip for ip, _ in settings.seeds])

    # The router ------------------------------------------------------------------------------------------------------

    def handle_event(self, event: RouterEvent) -> None:
        """One step of the router, and what it commands."""
        for command in self.router.step(self.now(), event):
            self._execute(command)
        self._set_timer()

    def _set_timer(self) -> None:
        at = self.router.next_at()
        if at is not None and (self._timer_at is None or at < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = at
            self._timer = self.loop.call_at(at + self.limits.grain, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = self._timer_at = None
        self.handle_event(Tick())

    def _execute(self, command: Command) -> None:
        match command:
            case ForwardRequest():
                self._forward(command)
            case CancelAttempt():
                self.workers.cancel(command.number, command.attempt, command.only_unsent)
            case RelayAnswer():
                self.listener.relay(command.number, command.outcome)
            case AnswerRequest():
                headers = {"Retry-After": f"{command.retry_after:.3f}"} if command.retry_after else None
                self.listener.answer(command.number, command.status, b"", headers)
            case SendCount():
                self._send_count(command)
            case _:
                assert_never(command)

    def _forward(self, command: ForwardRequest) -> None:
        request = self.listener.requests.get(command.number)
        if request is not None:
            request.tenant = command.tenant
            timeout = int(command.timeout * UNITS_PER_SECOND)
            self.workers.send(command.number, command.attempt, command.worker, command.address, request, timeout)

    def _send_count(self, command: SendCount) -> None:
        if command.ip is not None:
            self.datagrams.send(command.count, (command.ip, self.settings.ports[0]))
            return
        total = self.counter.add(self.now(), command.count, self.router.registry.version)
        if total is not None:
            self.loop.call_soon(self.handle_event, CountAnswered(total))

    # Datagrams -------------------------------------------------------------------------------------------------------

    def _on_message(self, message: Any, address: Address) -> None:
        match message:
            case Count():
                total = self.counter.add(self.now(), message, self.router.registry.version)
                if total is not None:
                    self.datagrams.send(total, address)
                    self._on_notice(address[0], Versions(0, message.registry))
            case Total():
                self.handle_event(CountAnswered(message))
                self._on_notice(address[0], Versions(0, message.registry))
            case HeartbeatReply():
                self.control_planes.replied(self.now(), address[0], message.replicas, message.revision > 0)
                self.subscriber.confirmed(self.now(), message.revision)
                self._on_notice(address[0], Versions(message.revision, message.registry))
            case PeerNotice():
                self._on_notice(message.ip, Versions(message.revision, message.registry), by_home=True)
            case GatewayHeartbeat() | LeaseRequest() | LeaseReply():
                pass  # for control planes

    def _on_notice(self, ip: str, versions: Versions, by_home: bool = False) -> None:
        for pull in self.subscriber.notified(self.now(), ip, versions, by_home):
            self._spawn(self._pull(pull))

    def _send_heartbeat(self) -> None:
        """Reports our state to the control planes that watch this gateway."""
        settings, versions = self.settings, self.subscriber.versions
        heartbeat = GatewayHeartbeat(
            settings.node,
            self.incarnation,
            settings.ip,
            settings.zone,
            settings.region,
            ":".join(map(str, settings.binds["front"])),
            self._is_ready(),
            self.draining,
            versions.revision,
            versions.registry,
        )
        for ip in self.control_planes.recipients(self.now()):
            self.datagrams.send(heartbeat, (ip, settings.ports[0]))

    async def _send_heartbeats(self) -> None:
        while True:
            try:
                self._reread_seeds()
                self._send_heartbeat()
                for pull in self.subscriber.due(self.now()):
                    self._spawn(self._pull(pull))
            except Exception:
                log.exception("A heartbeat failed.")
            is_behind = not self.router.serves or self.subscriber.behind_since is not None
            await asyncio.sleep(CATCH_UP_INTERVAL if is_behind else HEARTBEAT_INTERVAL)

    # Updates ---------------------------------------------------------------------------------------------------------

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pull(self, pull: Pull) -> None:
        """Fetches what is newer at another process, and notifies the zone if we are its home."""
        asked_at = self.now()
        try:
            if pull.configuration:
                await self._pull_configuration(pull)
            if pull.registry:
                update = await self.updates.registry(pull, self.router.registry.version)
                self.handle_event(RegistryChanged(update))
        except FETCH_ERRORS:
            self.subscriber.pull_failed(self.now(), pull.ip)  # asked again, of another
            return
        registry = self.router.registry
        versions = Versions(self.router.revision, registry.version)
        confirmed_at = asked_at if pull.configuration and self.control_planes.contains(pull.ip) else None
        self.subscriber.pull_ended(pull.ip, versions, registry.gateways, confirmed_at)
        if self.subscriber.home() == self.settings.node:
            self._notify_neighbours(versions)

    async def _pull_configuration(self, pull: Pull) -> None:
        routes = self.router.routes
        plan_id = routes.plan.id if routes is not None else ""
        received = await self.updates.configuration(pull, self.router.revision, plan_id)
        self.holds_plan_in_force = received.unreadable is None
        if received.unreadable is not None:
            self.router.metrics.unreadable_plans += 1
            log.warning("A configuration cannot be read, the previous one stays.", **received.unreadable.fields())
        self.handle_event(ConfigurationChanged(received.update))
        if self.router.routes is not None:
            self.listener.apply_caps(self.router.routes.plan)

    def _notify_neighbours(self, versions: Versions) -> None:
        notice = PeerNotice(self.settings.node, self.settings.ip, versions.revision, versions.registry)
        for ip in self.subscriber.neighbour_ips():
            self.datagrams.send(notice, (ip, self.settings.ports[0]))

    # Calls -----------------------------------------------------------------------------------------------------------

    async def _handle_internal(self, request: BaseRequest) -> HttpAnswer:
        """What a neighbour of the zone asks its home for."""
        if request.path == "/internal/configuration":
            return self._relay_configuration(request)
        if request.path == "/internal/registry":
            term, number = (int(text) for text in request.query.get("since", "0.0").split("."))
            return 200, encode(self.router.registry.since((term, number), self.now())), None
        return 404, b"", None

    def _relay_configuration(self, request: BaseRequest) -> HttpAnswer:
        """503 where no control plane has confirmed of late what we have, or it is not all that is in force: the neighbour asks one
        itself."""
        if self.router.routes is None or not self.holds_plan_in_force or not self.subscriber.may_relay(self.now()):
            return 503, b"", None
        plan = self.router.routes.plan
        newer = plan if request.query.get("held") != plan.id else None
        return 200, encode(ConfigurationUpdate(self.router.revision, newer, self.router.evacuated)), None

    async def _serve_metrics(self) -> list[asyncio.Server]:
        """Where the operators read our counts; without it the gateway serves all the same."""
        try:
            return [await serve(self._handle_metrics, (self.settings.ip, METRICS_PORT))]
        except OSError as error:
            log.warning("The metrics cannot be served.", port=METRICS_PORT, why=str(error))
            return []

    async def _handle_metrics(self, request: BaseRequest) -> HttpAnswer:
        if request.path != METRICS_PATH:
            return 404, b"", None
        counts = render(self.router.metrics, len(self.workers.out), self.listener.without_room)
        return 200, counts, {"Content-Type": "text/plain; version=0.0.4"}

    async def _handle_ready(self, request: BaseRequest) -> HttpAnswer:
        if request.path != "/-/readyz":
            return 404, b"", None
        return (200 if self._is_ready() else 503), b"", None

    def _is_ready(self) -> bool:
        return self.router.serves and not self.draining
