"""Runs one gatekeeper: events go to the reducer one by one, the effects it asks for are carried out."""

import asyncio
import signal
from collections import deque

import structlog

from ..clients import ClientServer
from ..clock import Clock
from ..counter import Counter
from ..discovery import Told, Watch
from ..errors import FernyardError
from ..lateness import Lag, Lateness
from ..log import Counts
from ..plan import Forwarder
from ..recovery import Recovery, bounds_of
from ..settings import BadSettings
from ..workers import WorkerPool
from . import effects as e
from .reducer import Configured, Fault, Handed, Reducer, Reload, Rerouted, Stop, Tick

log = structlog.get_logger(__name__)
LAG_BEAT = 0.05  # seconds between two timers that tell how late the loop is


def make_between(config, operator):
    """What stands between the decisions and the counter: a forwarder's leases, recovery, or nothing."""
    if operator is None:
        return None
    if operator.forwarder is not None:
        return Forwarder(operator.forwarder.settings(config))
    if operator.recovery is not None and config.counter is not None:
        return Recovery(operator.recovery.settings(), config.seed)
    return None


def make_lateness(config, operator):
    """The measure of the program's own lateness, where the operator asks for it."""
    return (
        None if operator is None or operator.lateness is None else Lateness(operator.lateness.settings(), config.seed)
    )


def make_models(config, operator):
    """What stands around the decisions, as `Reducer` takes it: each only where the operator's file asks for it."""
    told = {"between": make_between(config, operator), "lateness": make_lateness(config, operator)}
    if operator is not None and operator.accord is not None:
        told["follower"] = operator.accord.follower(config)
    if operator is not None and operator.zones is not None:
        told["zones"] = operator.zones.filter(config)
    if operator is not None and operator.shares is not None:
        told["shares"] = operator.shares.share(config, told["follower"])
    return told


class Node:
    def __init__(self, config, reread=None, operator=None, served=None, table=None):
        """`reread` reads the configuration again, or raises BadSettings; `operator` is the operator's file as read
        (`settings.operator.Operator`), or None; `served` (a `freeze.served.Served`, or None) keeps to the agreed
        configuration, of which `table` are the routes. BadSettings: its description of routes cannot be used."""
        self.config, self.reread, self.counts, self.served = config, reread, Counts(), served
        models = make_models(config, operator)
        self.reducer = Reducer(config, self.counts, keeper=served and served.keeper, **models)
        self.clock, self.events, self.draining = Clock(), deque(), False
        self.alarm, self.alarm_at, self.rerouting = None, None, None
        self.routes, routes, unmatched = operator and operator.routes, None, None
        if self.routes is not None:
            routes, unmatched = table or self.routes.read(config), self.routes.default(config)
        self.clients = ClientServer(config, self.post, self.counts, routes, unmatched)
        self.workers = WorkerPool(config.limits, self.post)
        if operator is not None and operator.eureka is not None:
            self.discovery = operator.eureka.watch(config.machines.zones, self.post, self.counts)
        else:
            version, _, machines, _ = config.known
            self.discovery = Watch(
                config.discovery, config.machines, config.limits, self.post, version if machines else None, config.seed
            )
        # A forwarder leaves the counter to the planners.
        self.planners = self.counter = self.followed = None
        if "follower" in models:
            from ..accord.client import FollowerClient

            self.followed = FollowerClient(config.name, config.limits.connect, self.post)
        if isinstance(models["between"], Forwarder):
            from ..plan.client import PlannerClient  # its library is loaded by forwarders alone

            self.planners = PlannerClient(config.name, config.limits.connect, self.post)
        elif config.counter:
            self.counter = Counter(config.counter, config.limits, self.post)
        self.do = {
            e.Answer: lambda x: self.clients.answer(x.number, x.status, x.body, x.headers, x.return_in),
            e.Send: lambda x: self.workers.send(x.number, x.dispatch, x.worker, x.address, x.req, x.limit),
            e.GiveUp: lambda x: self.workers.give_up(x.number, x.dispatch),
            e.AskPlanner: lambda x: self.planners.ask(x.planner, x.ask, x.wants),
            e.AskOrder: lambda x: self.followed.follow(x.told),
            e.KeepConfig: lambda x: self.served.keep(x.digest),
            e.Call: lambda x: self.counter.call(x.name, x.amount, x.keep),
            e.ReadConfig: lambda x: self._read_config(),
            e.Move: self._move,
            e.Route: lambda x: self.clients.route(x.table),
            e.LastAnswers: lambda x: self.clients.stop(),
            e.CloseIdle: lambda x: self.clients.close_idle(),
            e.Finish: lambda x: self.finished.set_result(None),
        }

    async def run(self):
        """Serves until told to stop and all that was taken is answered."""
        self.loop = asyncio.get_running_loop()
        self.finished = self.loop.create_future()
        begun = self.reducer.start(self.clock())
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.post, Stop())
        self.loop.add_signal_handler(signal.SIGUSR1, self._print)
        self.loop.add_signal_handler(signal.SIGHUP, self.post, Reload())
        self.workers.start()
        try:
            await self.clients.listen(*self.config.listen)
            for started in self.counter, self.planners, self.followed:
                if started is not None:
                    started.start()
            self._carry_out(begun)
            self.discovery.start()
            if self.served is not None:
                self._read_config()  # what stands in the files may be another than what is served
            if self.reducer.lateness is not None or self.reducer.zones is not None:
                self._listen_for_lag()
            await self.finished
        finally:
            await self.clients.close(self.config.limits.flush)
            await self.discovery.close()
            await self.workers.close()
            for ended in self.planners, self.followed:
                if ended is not None:
                    await ended.close()
            if self.counter is not None:
                self.counter.close()
        self._print()

    def _print(self):
        """The counts, and with recovery what trouble of the counter may cost each plan at most."""
        self.counts.print()
        between = self.reducer.between
        if isinstance(between, Recovery):
            for bound in bounds_of(self.config, between.set):
                log.info(
                    "counter_bound",
                    plan=bound.plan,
                    bucket_s=bound.length,
                    limit=bound.limit,
                    away=round(bound.away, 2),
                    replaced=round(bound.replaced, 2),
                    split=round(bound.split, 2),
                    split_on=round(bound.split_on, 2),
                )

    def post(self, event):
        """An event goes to the reducer at once; one that comes while another is dealt with waits for it.
        Changes of the list go before all else that is pending."""
        if type(event) is Told:
            self.events.appendleft(event)
        else:
            self.events.append(event)
        if self.draining:
            return
        self.draining = True
        try:
            while self.events:
                self._carry_out(self.reducer.reduce(self.clock(), self.events.popleft()))
        finally:
            self.draining = False

    def _carry_out(self, effects):
        for effect in effects:
            try:
                self.do[type(effect)](effect)
            except Exception:
                log.exception("effect_fault", kind=type(effect).__name__)
                self.post(Fault(getattr(effect, "number", None)))
        at = self.reducer.next_timer()
        if at is not None and (self.alarm_at is None or at < self.alarm_at):
            if self.alarm is not None:
                self.alarm.cancel()
            grain, self.alarm_at = int(self.config.limits.grain * 10_000), at
            due = at + grain - at % grain
            self.alarm = self.loop.call_later((due - self.clock()) / 10_000, self._ring)

    def _listen_for_lag(self):
        """How much too late a timer comes is how late everything here is read."""
        due = self.loop.time() + LAG_BEAT

        def came():
            self.post(Lag(max(0, int((self.loop.time() - due) * 10_000))))
            if not self.finished.done():
                self._listen_for_lag()

        self.loop.call_at(due, came)

    def _read_config(self):
        if self.served is not None:
            if self.rerouting is None or self.rerouting.done():
                self.rerouting = self.loop.create_task(self._read_handed())
            return
        try:
            config = self.reread()
        except BadSettings as why:
            log.warning("reload_refused", **why.fields())
            config = None
        self.post(Configured(config))
        if self.routes is not None and (self.rerouting is None or self.rerouting.done()):
            self.rerouting = self.loop.create_task(self._read_routes())

    async def _read_handed(self):
        """The files as they stand, in a thread: a candidate, served once all have agreed to it."""
        candidate = None
        try:
            candidate = await asyncio.to_thread(self.served.read)
        except FernyardError as why:
            log.warning("reload_refused", **why.fields())
        except Exception:
            log.exception("reload_fault")
        self.post(Handed(candidate))

    async def _read_routes(self):
        """In a thread: checking a long description takes seconds, and reqs go on meanwhile."""
        table = None
        try:
            table = await asyncio.to_thread(self.routes.read, self.config)
        except BadSettings as why:
            log.warning("routes_refused", **why.fields())
        except Exception:
            log.exception("routes_fault")
        self.post(Rerouted(table))

    def _move(self, to):
        self.discovery.move(to.discovery)
        if self.counter is not None and to.counter is not None:
            self.counter.move(to.counter)

    def _ring(self):
        self.alarm = self.alarm_at = None
        self.post(Tick())
