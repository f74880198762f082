"""Runs one control plane: composes its parts and connects them to the sockets, the disk and the signals.

Decides nothing: `Replica`, `Discovery`, `Registry` and the lease do.
"""

import asyncio
import os
import signal
from collections.abc import Callable
from typing import Any

from ..common.errors import ClusterError
from ..common.logs import ComponentLogger
from ..common.messages import (
    NO_VERSION,
    GatewayHeartbeat,
    HeartbeatReply,
    LeaseReply,
    LeaseRequest,
    Message,
    decode_registry_update,
)
from ..common.registry import Registry
from ..common.settings import Settings, read as read_settings
from ..common.transport import Address, Datagrams, serve
from ..early_signals import ignore_late_signals
from .api import Api
from .call_table import MAX_CONFIGURATION_BYTES, Bind
from .command_executor import CommandExecutor
from .commands import CompleteCall
from .discovery import REGISTRY_SAVE_INTERVAL, Discovery
from .endpoint_poller import EndpointPoller
from .events import CallExpired, Event, LeaseChanged, MessageReceived, ShutdownRequested, Tick
from .gateway_plan import GatewayPlan
from .lease_manager import LeaseManager
from .messages import ReplicaHeartbeat, decode, encode
from .peer_client import PeerClient
from .recovery import recover
from .replica import READ_RETRY, Replica
from .replica_context import ReplicaSettings
from .status import Status, status_of
from .store import Store

log = ComponentLogger("control-plane")
REGISTRY_AREA = "registry"
# Times in seconds.
ANSWER_TIMEOUT = 0.85  # a caller goes on to another gatekeeper after a second
HEARTBEAT_INTERVAL = 0.2
MAX_HANDOVER = 4.0  # longest wait for a successor
HANDOVER_MARGIN = 2.0  # what is left before the kill
LAST_ANSWERS = 0.2  # for answers that are on their way when the process stops


class ControlPlane:
    """One control plane; made within a running loop, then `run`."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.loop = settings, asyncio.get_running_loop()
        self.store = Store(settings.data_dir) if settings.data_dir else None
        areas = self.store.load() if self.store is not None else {}
        is_first_start = settings.bootstrap and not areas
        now = self.now()
        self.replica = self._recover(areas, is_first_start)
        self.discovery = Discovery(now, settings.zones, settings.cloud_rate)
        self.registry, self.plan = Registry(), GatewayPlan()
        self.client = PeerClient(settings.ports[0])
        self.datagrams = Datagrams(self._on_message, decode)
        self.executor = CommandExecutor(self.store, self.client, self.send, self.handle_event, self._publish)
        self.lease = LeaseManager(now, self.replica, is_first_start, self.send)
        self.poller = EndpointPoller(
            settings.cloud, self.client, self.discovery, self.registry, self.term, self._notify_gateways
        )
        self.api = Api(self)
        self._servers: list[asyncio.Server] = []
        self._tickets = 0
        self._following: asyncio.Task[None] | None = None
        self._stop_requested = asyncio.Event()
        self._saved_version, self._registry_saved_at = NO_VERSION, now
        self._load_registry(areas.get(REGISTRY_AREA))

    def now(self) -> float:
        """Seconds of the steady clock."""
        return self.loop.time()

    def _recover(self, areas: dict[str, bytes], is_first_start: bool) -> Replica:
        settings = self.settings
        replica_settings = ReplicaSettings(
            node=settings.node,
            ip=settings.ip,
            votes=settings.voting and self.store is not None,
            seeds=tuple(ip for ip, _ in settings.seeds),
            faults=int(settings.faults.get("nodes", 1)),
        )
        recovered = recover(areas, replica_settings, is_first_start, _random_id())
        if recovered.unreadable:
            log.warning("Configurations do not match their digests and were skipped.", areas=recovered.unreadable)
        return Replica(self.now(), replica_settings, _random_id(), recovered.vote, recovered.bodies)

    def _load_registry(self, content: bytes | None) -> None:
        """Soft state, stored for a quick start alone: until the list is read again, workers as they were last seen."""
        if content is not None:
            self.registry.follow(decode_registry_update(content), 0.0)
            self._saved_version = self.registry.version

    # Start and stop --------------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serves until SIGTERM, then hands over."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.client.open()
        await self.datagrams.open(self.settings.internal)
        await self._serve(Bind.INTERNAL, self.settings.internal)
        for bind in Bind.CONTROL, Bind.DIRECTORY:
            if bind.value in self.settings.binds:
                await self._serve(bind, self.settings.binds[bind.value])
        log.info("Control plane is up.", node=self.settings.node, member=str(self.replica.member))
        heartbeats = self.loop.create_task(self._send_heartbeats())
        loading = self.loop.run_in_executor(None, _load_configuration_reader)
        await self._stop_requested.wait()
        await self._hand_over()
        heartbeats.cancel()
        await loading
        for server in self._servers:
            server.close()
        await asyncio.sleep(LAST_ANSWERS)
        await self.client.close()
        self.datagrams.close()
        log.info("Control plane has stopped.")
        ignore_late_signals()

    async def _serve(self, bind: Bind, address: Address) -> None:
        is_control = bind is Bind.CONTROL
        self._servers.append(await serve(self.api.handler(bind), address, MAX_CONFIGURATION_BYTES, is_control))

    async def _hand_over(self) -> None:
        """Goes on until another votes in our place, where one waits to; not past the time of the kill."""
        patience = min(MAX_HANDOVER, self.settings.bound("graceS", 5.0) - HANDOVER_MARGIN)
        deadline = self.now() + patience
        self.handle_event(ShutdownRequested())
        while self.now() < deadline and not self.replica.may_stop():
            await asyncio.sleep(HEARTBEAT_INTERVAL)
        log.info("Control plane is shutting down.", votes=self.replica.is_voter)

    def _reload(self) -> None:
        """SIGHUP: reads the settings again; a bad file changes nothing."""
        try:
            settings = read_settings()
        except ClusterError as error:
            log.warning("The settings were rejected, the previous ones stay in force.", **error.fields())
            return
        self.replica.add_seeds([ip for ip, _ in settings.seeds])
        log.info("The settings were reloaded.")

    # Events ----------------------------------------------------------------------------------------------------------

    def handle_event(self, event: Event) -> None:
        """One step of the replica, and what it commands."""
        for command in self.replica.step(self.now(), event):
            self.executor.execute(command)

    async def call(self, make_event: Callable[[int], Event]) -> CompleteCall:
        """The replica's answer to one call, within the time that its caller waits. `make_event(ticket)` gives the event. Cancelled
        when the caller leaves."""
        self._tickets += 1
        ticket = self._tickets
        answer: asyncio.Future[CompleteCall] = self.loop.create_future()
        self.executor.waiting_calls[ticket] = answer
        timer = self.loop.call_later(ANSWER_TIMEOUT, lambda: self.handle_event(CallExpired(ticket)))
        ticks = self.loop.create_task(self._tick_until(answer))
        self.handle_event(make_event(ticket))
        try:
            return await answer
        except asyncio.CancelledError:
            self.handle_event(CallExpired(ticket))
            raise
        finally:
            timer.cancel()
            ticks.cancel()

    async def _tick_until(self, answer: "asyncio.Future[CompleteCall]") -> None:
        """A lost datagram must not cost a caller its answer."""
        while not answer.done():
            await asyncio.sleep(READ_RETRY)
            self.handle_event(Tick())

    # Datagrams -------------------------------------------------------------------------------------------------------

    def send(self, message: Message, ip: str) -> None:
        """Sends a datagram to the process at `ip`; it may be lost."""
        self.datagrams.send(message, (ip, self.settings.ports[0]))

    def _on_message(self, message: Any, address: Address) -> None:
        match message:
            case GatewayHeartbeat():
                self.discovery.record_heartbeat(self.now(), message)
                self.datagrams.send(self._heartbeat_reply(), address)
            case LeaseRequest():
                self.datagrams.send(self.lease.on_request(self.now(), message), address)
            case LeaseReply():
                if self.lease.on_reply(self.now(), message):
                    log.info("This process holds the lease.", epoch=self.lease.candidate.epoch)
                    self._report_lease(True)
            case _:
                self.handle_event(MessageReceived(address[0], message))
                if isinstance(message, ReplicaHeartbeat):
                    self._follow_registry(address[0], message)

    async def _send_heartbeats(self) -> None:
        while True:
            try:
                self._on_heartbeat_interval()
            except Exception:
                log.exception("A heartbeat failed.")
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    def _on_heartbeat_interval(self) -> None:
        self.replica.registry_version = self.registry.version
        self.handle_event(Tick())
        now = self.now()
        self.lease.renew(now, self._highest_term())
        self._report_lease(self.lease.holds(now))
        self.poller.poll()
        self._save_registry()

    # The lease and the registry --------------------------------------------------------------------------------------

    def term(self) -> int | None:
        """The term under which this process may act for all now, or None."""
        return self.replica.term() if self.lease.holds(self.now()) else None

    def _highest_term(self) -> int:
        """The highest term or epoch of a lease that any received message bears."""
        return max(self.lease.voter.epoch, self.registry.version[0], self.discovery.highest_term)

    def _report_lease(self, held: bool) -> None:
        self.handle_event(LeaseChanged(held, self._highest_term()))

    def _follow_registry(self, ip: str, heartbeat: ReplicaHeartbeat) -> None:
        if heartbeat.registry <= self.registry.version or self.term() is not None:
            return
        if self._following is None or self._following.done():
            self._following = self.loop.create_task(self._fetch_registry(ip))

    async def _fetch_registry(self, ip: str) -> None:
        update = await self.client.fetch_registry(ip, self.registry.version)
        if update is not None and self.registry.follow(update, self.now()):
            self._notify_gateways()
            # The next lease holder begins with what the last one saw.
            self.discovery.workers = dict(self.registry.workers)

    def _save_registry(self) -> None:
        if self.store is None or self.registry.version == self._saved_version:
            return
        if self.now() - self._registry_saved_at >= REGISTRY_SAVE_INTERVAL:
            self._saved_version, self._registry_saved_at = self.registry.version, self.now()
            self.executor.spawn(self._store_registry(encode(self.registry.to_store())))

    async def _store_registry(self, content: bytes) -> None:
        await self.executor.store_area(REGISTRY_AREA, content)

    # Gateways --------------------------------------------------------------------------------------------------------

    def _publish(self) -> None:
        self.plan.update(self.replica)
        self._notify_gateways()

    def _notify_gateways(self) -> None:
        """All gateways hear at once that something is new; one that misses it hears at its next heartbeat."""
        reply = self._heartbeat_reply()
        for heartbeat in self.discovery.alive(self.now()):
            self.send(reply, heartbeat.ip)

    def _heartbeat_reply(self) -> HeartbeatReply:
        state = self.replica.served_state(self.now())
        revision = state.revision if state is not None and self.plan.plan is not None else 0
        return HeartbeatReply(self.settings.node, self.replica.known_ips(), revision, self.registry.version)

    def status(self) -> Status:
        """What `GET /-/status` tells."""
        gateways = [gateway.node for gateway in self.registry.gateways.values()]
        polls_list, workers = self.term() is not None, len(self.registry.workers)
        return status_of(self.now(), self.replica, polls_list, self.registry.version, workers, gateways)


def _load_configuration_reader() -> None:
    """Its first use takes a third of a second of processor time. In a thread, so that the loop goes on meanwhile: on a busy machine
    it would stand still for longer than `SUSPENDED_AFTER`, and evacuations that came would be answered 503."""
    from . import configuration  # noqa: F401


def _random_id() -> int:
    """A number that no other run of any process has."""
    return int.from_bytes(os.urandom(6), "big")
