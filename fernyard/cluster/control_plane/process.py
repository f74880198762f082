"""Runs one control plane: calls, datagrams and the disk. Decides nothing: `Replica`, `Discovery`, `Registry` and the lease do."""

import asyncio
import os
import signal
from concurrent.futures import ThreadPoolExecutor

import aiohttp
import msgspec

from ..common import lease
from ..common.errors import ClusterError, StoreError
from ..common.logs import ComponentLogger
from ..common.messages import (
    NO_VERSION,
    GatewayHeartbeat,
    HeartbeatReply,
    LeaseReply,
    LeaseRequest,
    decode_registry_update,
)
from ..common.registry import Registry
from ..common.settings import read as read_settings
from ..common.transport import Datagrams, serve
from . import events
from .api import Api
from .discovery import REGISTRY_SAVE_PERIOD, Discovery
from .messages import MessageReceived, ReplicaHeartbeat, StoredBody, decode, decode_body, encode
from .recovery import recover
from .replica import ASK_AGAIN, Replica, ReplicaSettings
from .state import NO_CONFIGURATION
from .store import Store
from .worker_list import WorkerListDuty

log = ComponentLogger("control-plane")
ANSWER_WITHIN = 0.85  # a caller goes on to another gatekeeper after a second
HEARTBEAT, CALL = 0.2, 1.0  # seconds: between heartbeats, for a call of ours
# For the bytes of a configuration, which may be many on a long way; a machine that is dark is given up soon.
BODY_CALL = aiohttp.ClientTimeout(total=6.0, sock_connect=0.4, sock_read=1.0)
HAND_OVER, HAND_OVER_MARGIN = 4.0, 2.0  # seconds: longest wait for a successor, and what is left before the kill
LAST_ANSWERS = 0.2  # seconds for answers that are on their way when the process stops


class ControlPlane:
    def __init__(self, settings):
        self.set, self.loop = settings, asyncio.get_running_loop()
        self.now = self.loop.time
        self.waiting, self.ticket, self.servers, self.tasks = {}, 0, [], []
        self.store = Store(settings.data_dir) if settings.data_dir else None
        areas = self.store.load() if self.store is not None else {}
        self.replica = self._recover(areas)
        self.discovery = Discovery(self.now(), settings.zones, settings.cloud_rate)
        self.registry, self.plan = Registry(), None
        self.granter = lease.LeaseVoter(self.now(), settings.bootstrap and not areas)
        self.holder = lease.LeaseCandidate(str(self.replica.member))
        self.duty, self.api = WorkerListDuty(self), Api(self)
        self.disk = ThreadPoolExecutor(1)
        self.datagrams = Datagrams(self.heard, decode)
        self.fetching, self.fetching_bodies, self.stopped = None, set(), self.loop.create_future()
        self.registry_saved, self.registry_saved_at = NO_VERSION, self.now()
        if "registry" in areas:
            # Soft state, kept for a quick start alone: until the list is asked again, workers as they were last seen.
            self.registry.follow(decode_registry_update(areas["registry"]), 0.0)
            self.registry_saved = self.registry.mark

    def _recover(self, areas):
        settings = self.set
        votes = settings.voting and self.store is not None
        seeds = tuple(ip for ip, _ in settings.seeds)
        faults = int(settings.faults.get("nodes", 1))
        replica_settings = ReplicaSettings(settings.node, settings.ip, votes, seeds, faults)
        disk = int.from_bytes(os.urandom(6), "big")
        recovered = recover(areas, replica_settings, settings.bootstrap and not areas, disk)
        if recovered.unreadable:
            log.warning("Configurations do not fit their digests and are passed over.", areas=recovered.unreadable)
        incarnation = int.from_bytes(os.urandom(6), "big")
        return Replica(self.now(), replica_settings, incarnation, recovered.vote, recovered.bodies)

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
        self.servers.append(await serve(self.api.handler("internal"), self.set.internal, 1 << 26))
        for bind in "control", "dir":
            if bind in self.set.binds:
                self.servers.append(await serve(self.api.handler(bind), self.set.binds[bind], 1 << 26))
        log.info("Control plane is up.", node=self.set.node, member=str(self.replica.member))
        beats = self.loop.create_task(self.beats())
        await self.stopped
        await self.hand_over()
        beats.cancel()
        for server in self.servers:
            server.close()
        await asyncio.sleep(LAST_ANSWERS)
        await self.session.close()
        self.datagrams.close()
        log.info("Control plane has stopped.")

    async def hand_over(self):
        """Goes on until another votes in our place, where one waits to; not past the time of the kill."""
        patience = min(HAND_OVER, self.set.bound("graceS", 5.0) - HAND_OVER_MARGIN)
        until = self.now() + patience
        self.tell(events.ShutdownRequested())
        while self.now() < until and not self.replica.may_stop():
            await asyncio.sleep(HEARTBEAT)
        log.info("Control plane leaves.", votes=self.replica.is_voter)

    def reload(self):
        try:
            settings = read_settings()
        except ClusterError as why:
            return log.warning("Settings are refused, the old ones stay.", **why.fields())
        self.replica.add_seeds(tuple(ip for ip, _ in settings.seeds))
        log.info("Settings are read anew.")

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.append(task)
        task.add_done_callback(self.tasks.remove)

    # Orders of the replica -------------------------------------------------------------------------------------------

    def tell(self, event):
        for order in self.replica.step(self.now(), event):
            ORDERS[type(order)](self, order)

    def tell_lease(self, held):
        self.tell(events.LeaseChanged(held, self.duty.highest_seen()))

    def do_save(self, order):
        self.spawn(self.save(order.area, order.content))

    async def save(self, area, content):
        kept = True
        try:
            await self.loop.run_in_executor(self.disk, self.store.save, area, content)
        except StoreError as why:
            log.warning("The disk did not keep a state.", area=area, **why.fields())
            kept = False
        if area != "registry":
            self.tell(events.AreaStored(area, kept))

    def do_erase(self, order):
        if self.store is not None:
            self.loop.run_in_executor(self.disk, self.store.erase, order.area)

    def do_send(self, order):
        self.send(order.message, order.ip)

    def send(self, message, ip):
        self.datagrams.send(message, (ip, self.set.ports[0]))

    def do_push(self, order):
        self.spawn(self.push(order))

    async def push(self, order):
        body = encode(StoredBody(order.id, order.body))
        try:
            url = self.url(order.ip, "body")
            async with self.session.post(url, data=body, timeout=BODY_CALL) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # it asks for what it lacks

    def do_fetch(self, order):
        if order.id not in self.fetching_bodies:
            self.fetching_bodies.add(order.id)
            self.spawn(self.fetch(order))

    async def fetch(self, order):
        query = {"id": str(order.id)}
        try:
            async with self.session.get(self.url(order.ip, "body"), params=query, timeout=BODY_CALL) as answer:
                if answer.status == 200:
                    stored = decode_body(await answer.read())
                    self.tell(events.BodyReceived(stored.id, stored.body))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            pass  # asked again, of another
        finally:
            self.fetching_bodies.discard(order.id)

    def url(self, ip, what):
        return f"http://{ip}:{self.set.ports[0]}/internal/{what}"

    def do_reply(self, order):
        waiting = self.waiting.pop(order.ticket, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(order)

    def do_publish(self, _):
        replica = self.replica
        wanted = replica.state.configuration
        if wanted != NO_CONFIGURATION and (self.plan is None or self.plan.id != str(wanted)):
            # Imported at its first use: the reader is a third of a start, and look-ups are answered before it is needed.
            from . import configuration

            _, told = configuration.parse(replica.bodies.content(wanted))
            self.plan = configuration.plan_of(wanted, told)
        self.notify()

    def notify(self):
        """All gateways hear at once that something is new; one that misses it hears at its next heartbeat."""
        reply = self.heartbeat_reply()
        for heartbeat in self.discovery.alive(self.now()):
            self.send(reply, heartbeat.ip)

    def heartbeat_reply(self):
        state = self.replica.served(self.now())
        revision = state.revision if state is not None and self.plan is not None else 0
        return HeartbeatReply(self.set.node, self.replica.known_ips(), revision, self.registry.mark)

    # Datagrams -------------------------------------------------------------------------------------------------------

    def heard(self, message, address):
        kind = type(message)
        if kind is GatewayHeartbeat:
            self.discovery.heard(self.now(), message)
            self.datagrams.send(self.heartbeat_reply(), address)
        elif kind is LeaseRequest:
            self.duty.lease_asked(message, address)
        elif kind is LeaseReply:
            self.duty.lease_granted(message)
        else:
            self.tell(MessageReceived(address[0], message))
            if kind is ReplicaHeartbeat and message.registry > self.registry.mark and self.duty.term() is None:
                self.follow(address[0])

    async def beats(self):
        while True:
            try:
                self.replica.registry_version = self.registry.mark
                self.tell(events.Tick())
                self.duty.beat()
                self.save_registry()
            except Exception:
                log.exception("A heartbeat broke.")
            await asyncio.sleep(HEARTBEAT)

    def save_registry(self):
        if self.store is None or self.registry.mark == self.registry_saved:
            return
        if self.now() - self.registry_saved_at >= REGISTRY_SAVE_PERIOD:
            self.registry_saved, self.registry_saved_at = self.registry.mark, self.now()
            self.spawn(self.save("registry", encode(self.registry.keep())))

    def follow(self, ip):
        if self.fetching is None or self.fetching.done():
            self.fetching = self.loop.create_task(self.fetch_registry(ip))

    async def fetch_registry(self, ip):
        mark = self.registry.mark
        try:
            async with self.session.get(self.url(ip, "registry"), params={"since": f"{mark[0]}.{mark[1]}"}) as answer:
                if answer.status != 200:
                    return
                update = decode_registry_update(await answer.read())
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return  # asked again at the next heartbeat
        if self.registry.follow(update, self.now()):
            self.notify()
            # The next holder of the lease begins with what the last one saw.
            self.discovery.listed = dict(self.registry.workers)

    # Calls -----------------------------------------------------------------------------------------------------------

    async def call(self, make):
        """The replica's reply to one call, within the time that its caller waits. `make(ticket)` gives the event."""
        self.ticket += 1
        ticket, waiting = self.ticket, self.loop.create_future()
        self.waiting[ticket] = waiting
        timer = self.loop.call_later(ANSWER_WITHIN, lambda: self.tell(events.CallExpired(ticket)))
        nudging = self.loop.create_task(self.nudge(waiting))
        self.tell(make(ticket))
        try:
            return await waiting
        finally:
            timer.cancel()
            nudging.cancel()

    async def nudge(self, waiting):
        """A lost datagram must not cost a caller its answer."""
        while not waiting.done():
            await asyncio.sleep(ASK_AGAIN)
            self.tell(events.Tick())

    def status(self):
        """What `/-/status` tells, as a map for JSON."""
        now, replica = self.now(), self.replica
        state, decided, age = replica.state, replica.decided, replica.contact_age(now)
        told = {
            "node": self.set.node,
            "member": str(replica.member),
            "votes": replica.is_voter,
            "leaving": replica.leaving,
            "contactAgeS": round(age, 2) if age is not None else None,
            "heard": {peer.heartbeat.node: round(now - peer.at, 2) for peer in replica.contacts.peers.values()},
            "learning": [str(p.member) for p in replica.contacts.fresh(now) if state and p.member not in state.voters],
            "leavingOthers": [str(p.member) for p in replica.contacts.fresh(now) if p.heartbeat.leaving],
            "listHere": self.duty.term() is not None,
            "registry": list(self.registry.mark),
            "workers": len(self.registry.workers),
            "gateways": [gateway.node for gateway in self.registry.gateways.values()],
        }
        if state is not None:
            told["version"] = f"{state.configuration.version:08x}"
            told["digest"] = f"{state.configuration.digest:016x}"
            told["revision"], told["epoch"], told["term"] = state.revision, state.epoch, state.term
            told["ballot"] = [decided.ballot.round, decided.ballot.proposer]
            told["members"] = [str(voter) for voter in state.voters]
            told["formerMembers"] = [str(voter) for voter in state.previous]
            told["evacuated"] = state.evacuated
        return told


ORDERS = {
    events.StoreArea: ControlPlane.do_save,
    events.EraseArea: ControlPlane.do_erase,
    events.SendMessage: ControlPlane.do_send,
    events.PushBody: ControlPlane.do_push,
    events.FetchBody: ControlPlane.do_fetch,
    events.CompleteCall: ControlPlane.do_reply,
    events.PublishState: ControlPlane.do_publish,
}
