"""The laboratory on a clock of its own: the same scenario files, with every gatekeeper's reducer and decisions run
in one process on emulated time, among the same worker, counter and load models as on sockets.

Nothing is read from a socket or from the machine's clock, so one seed gives the same sequence of answers, denials
and time-outs to the last one (`digest`), however loaded the machine is, and a fleet larger than the machine can be
played. What it cannot show is what sockets and processor time do: a gatekeeper here answers in no time at all, so
its latencies are the workers', the counter's and the line's. Runs on sockets (`runner.py`) show those.

Times inside are whole tenths of a millisecond of Unix time, as the reducer's; outcomes are in seconds.
"""

import hashlib
import random
from collections import deque
from heapq import heappop, heappush
from urllib.parse import quote

from multidict import CIMultiDict

from .. import interface as i
from ..clients import Gone, Taken
from ..clients.read import Malformed, Reader
from ..counter import Total
from ..discovery import Pace, Told
from ..discovery.eureka import Delta, Failed, Full, Trust, read_listing
from ..lateness import Lag
from ..log import Counts
from ..node import effects as e, make_models
from ..node.reducer import Reducer, Tick
from ..plan import Ask, Grant, Heard, Lost, Planner, planner_settings
from ..recovery import Answered, Asked, Beat, Bring, Tell
from ..settings import read_config
from ..settings.operator import planner_recovery
from ..workers import Outcome as Ended
from .counter import CounterStore
from .crowd import Connections, Crowded
from .eureka import RegistryModel
from .load import GRACE, Recorder, arrivals, request_headers
from .model import Fault, Shape, WorkerModel
from .ordered import OrderPlanners
from .result import assemble, configuration, operator_of
from .rules import Outcome
from .scenario import parse_told

SECOND = 10_000
BEGIN = 1_700_000_000 * SECOND  # when every run begins, on its own clock
HOP = 3  # one way over the network
TOLD_WITHIN = 200  # a change of the list reaches each gatekeeper within this, drawn by chance
COUNTS_AS_TOLD = 6 * SECOND  # to one that has asked and was not answered (the operators' protocol page)
LAG_BEAT = 500  # between two timers that tell how late a gatekeeper is
GRAIN = 40  # timers due so close together ring together, as in the gatekeeper
ENDS = {"unprocessed": i.End.FULL, "spoil": i.End.ERROR, "reset": i.End.RESET, "garble": i.End.RESET}


class Dispatch:
    """One dispatch of one gatekeeper, until it has ended there."""

    __slots__ = ("gatekeeper", "effect", "began", "over", "cid")

    def __init__(self, gatekeeper, effect, began):
        self.gatekeeper, self.effect, self.began, self.over = gatekeeper, effect, began, False
        self.cid = effect.req.headers[0][1]


class Worker:
    """A worker's model on the emulated clock. `dispatches`: (seconds from the start, id, whether it may have
    run, method)."""

    def __init__(self, lab, told):
        self.lab, self.told, self.waiting, self.dispatches, self.life = lab, told, deque(), [], 0
        self.model = WorkerModel(
            told.name, lab.seed, Shape(told.places, told.queue, told.mean, told.sigma, told.cold_share, told.warm_up)
        )
        self.model.started = lab.now / SECOND
        self.died, self.deaths = None, []  # when it last died; per death, how long it was still sent to

    def arrive(self, dispatch):
        if self.model.fault is Fault.REFUSE:
            self.deaths[-1] = self.lab.now - self.died
            return self.lab.later(HOP, self.lab.ended, dispatch, i.End.NO_CONNECTION)
        self.lab.connections.take(dispatch.gatekeeper, self.told.name, self.lab.now)
        verdict = self.model.step(self.lab.now / SECOND, "arrive", dispatch.cid)
        self.dispatches.append(
            (self.lab.since(self.lab.now), dispatch.cid, verdict.answer != "unprocessed", dispatch.effect.req.method)
        )
        if verdict.answer == "hold":
            self.waiting.append(dispatch)
        elif verdict.answer == "serve":
            self._serve(dispatch, verdict)
        else:
            self.lab.later(HOP, self.lab.ended, dispatch, ENDS[verdict.answer])

    def _serve(self, dispatch, verdict):
        self.lab.later(int(verdict.delay * SECOND), self._done, dispatch, self.life)

    def _done(self, dispatch, life):
        if life == self.life:
            self.model.step(self.lab.now / SECOND, "done")
            self.admit()
        self.lab.later(HOP, self.lab.ended, dispatch, i.End.PASSED)

    def admit(self):
        while self.waiting:
            verdict = self.model.step(self.lab.now / SECOND, "admit", self.waiting[0].cid)
            if verdict.answer != "serve":
                return
            self._serve(self.waiting.popleft(), verdict)

    def set_fault(self, fault):
        self.model.step(self.lab.now / SECOND, "fault", fault)
        if self.model.fault is Fault.REFUSE:
            self.died = self.lab.now
            self.deaths.append(0)
            self.lab.connections.lost(worker=self.told.name)
        self.admit()

    def restart(self):
        """Comes back cold; what it had is reset."""
        self.life += 1
        self.lab.connections.lost(worker=self.told.name)
        while self.waiting:
            self.lab.later(HOP, self.lab.ended, self.waiting.popleft(), i.End.RESET)
        self.model.step(self.lab.now / SECOND, "restart")


class Face:
    """The counter as one gatekeeper sees it: `mode` and `delay` as `EmulatedCounter`'s, on four links."""

    def __init__(self, lab, store):
        self.lab, self.store, self.mode, self.delay, self.calls = lab, store, "up", 0.0, 0
        self.free = [0] * 4

    def call(self, gatekeeper, effect):
        began, link = self.lab.now, effect.name % 4
        limit = began + int(gatekeeper.config.limits.count * SECOND)
        if self.mode == "lost":
            return self.lab.later(HOP, gatekeeper.counted, effect, i.End.NO_CONNECTION, 0.0, began)
        hold = int(self.delay * SECOND) if self.mode == "slow" else 0
        start = max(began + HOP, self.free[link])
        self.free[link] = start + hold
        self.lab.at(start + hold, self._answer, gatekeeper, effect, began, limit, self.mode)

    def _answer(self, gatekeeper, effect, began, limit, mode):
        if mode == "busy":
            end, total = i.End.FULL, 0.0
        else:
            self.calls += 1
            total = self.store.add(self.lab.now / SECOND, str(effect.name), effect.amount, max(1, effect.keep // 10))
            end = i.End.PASSED
        back = self.lab.now + HOP
        if mode == "silent" or back > limit:
            back, end, total = max(limit, self.lab.now), i.End.TIMEOUT, 0.0
        self.lab.at(back, gatekeeper.counted, effect, end, total, began)


class Fleeted:
    """One gatekeeper of the fleet: its reducer, and what carries out the reducer's effects here."""

    def __init__(self, lab, n, config):
        self.lab, self.n, self.config, self.counts = lab, n, config, Counts()
        self.reducer = Reducer(config, self.counts, **make_models(config, lab.operator))
        self.reader = Reader(config, lab.routes)
        self.zone = list(config.machines.zones)[config.settings.zone] if config.machines.zones else None
        self.alarm, self.alive, self.since = None, True, lab.now
        self.waiting, self.number = {}, 0  # number of a req -> its arrival
        # Events not dealt with yet, whether one is, and how many times what it costs elsewhere one costs here.
        self.pending, self.busy, self.slower = deque(), False, 1.0
        self.pace, self.told = Pace(config.limits, config.seed), lab.had[n][0]  # the version it has

    def start(self):
        self.carry_out(self.reducer.start(self.lab.now))
        if self.lab.crowd is not None:
            self.lab.later(1 + int(self.pace.first(True) * SECOND), self.ask)
        if self.reducer.lateness is not None:
            self.listen_for_lag()

    def ask(self):
        """Asks a discovery that must be asked, as the watch does: for what is newer than the list it has."""
        if not self.alive:
            return
        end, at = self.lab.crowd.ask(self.lab.now, len(self.missed()))
        limit = self.lab.now + int((self.config.limits.watch + self.pace.patience) * SECOND)
        if end != "answered":
            crowded = at <= limit  # else it went away before it was turned away
            self.lab.at(min(at, limit), self.unanswered, crowded)
        elif at > limit:
            self.lab.at(limit, self.unanswered, False)
        else:
            self.lab.at(at, self.answered)

    def unanswered(self, crowded):
        self.lab.later(max(1, int(self.pace.failed(crowded) * SECOND)), self.ask)

    def answered(self):
        """From now on it hears each change as it is told."""
        if self.alive:
            self.pace.answered()
            self.lab.listening.add(self)
            self.lab.listened.append(self.lab.now - self.since)
            self.lab.tell(self, self.missed())

    def missed(self):
        """The entries changed since the list it has."""
        return [entry for generation, entry in self.lab.news.values() if generation > self.told]

    def listen_for_lag(self):
        due = self.lab.now + LAG_BEAT
        self.lab.at(due, self.post, Lag(0), due)

    def post(self, event, began=None):
        """An event has come. Where the scenario says what one costs, they are dealt with one after another, changes of
        the list first, as in the gatekeeper; how long a call or a dispatch `began` took is told as it is dealt with."""
        if not self.alive:
            return
        if not self.lab.cost:
            return self.handle(event, began)
        if type(event) is Told:
            self.pending.appendleft((event, began))
        else:
            self.pending.append((event, began))
        if not self.busy:
            self.next()

    def next(self):
        self.busy = bool(self.pending)
        if self.busy:
            event, began = self.pending.popleft()
            # A timer that only tells the time goes to no decision.
            cost = self.lab.cost * self.slower * (0.1 if type(event) is Lag else 1.0)
            self.lab.later(max(1, int(cost)), self.dealt_with, event, began)

    def dealt_with(self, event, began):
        if self.alive:
            self.handle(event, began)
            self.next()

    def handle(self, event, began):
        if type(event) is Lag:
            event.late = self.lab.now - began
            self.listen_for_lag()
        elif began is not None:
            event.took = self.lab.now - began
        self.carry_out(self.reducer.reduce(self.lab.now, event))

    def carry_out(self, effects):
        for effect in effects:
            kind = type(effect)
            if kind is e.Answer:
                arrival = self.waiting.pop(effect.number, None)
                if arrival is not None:
                    self.lab.later(HOP, self.lab.answered, arrival, effect.status)
            elif kind is e.Send:
                self.lab.sent_far[self.lab.entries[effect.worker.rpartition("/")[2]]["zone"] != self.zone] += 1
                dispatch = Dispatch(self, effect, self.lab.now)
                self.lab.later(HOP, self.lab.workers[effect.worker.rpartition("/")[2]].arrive, dispatch)
                self.lab.later(effect.limit, self.lab.ended, dispatch, i.End.TIMEOUT)
            elif kind is e.Call:
                self.lab.faces[self.n].call(self, effect)
            elif kind is e.AskOrder:
                self.lab.order_planners.ask(self, effect.told)
            elif kind is e.AskPlanner:
                self.lab.later(HOP, self.lab.planners[effect.planner].ask, self, effect)
                self.lab.later(self.reducer.between.set.wait, self.unheard, effect)
        at = self.reducer.next_timer()
        if at is not None and (self.alarm is None or at < self.alarm):
            self.alarm = at + GRAIN - at % GRAIN
            self.lab.at(self.alarm, self.ring, self.alarm)

    def ring(self, alarm):
        if alarm == self.alarm:
            self.alarm = None
            self.post(Tick())

    def unheard(self, effect):
        if effect.ask in self.reducer.between.planners[effect.planner].out:
            self.post(Lost(effect.planner, effect.ask))

    def counted(self, effect, end, total, began):
        self.post(Total(effect.name, end, total, 0), began)

    def take(self, arrival):
        """A req has come in whole."""
        if not self.alive:
            return self.lab.later(HOP, self.lab.answered, arrival, 0)  # its connection is refused
        method, path = "GET" if arrival.free else "POST", f"/{quote(arrival.route)}/{arrival.customer}"
        headers = CIMultiDict(request_headers(arrival, self.lab.scenario.client_timeout, self.lab.count))
        try:
            frontend, plan, customer, left, units, doors, path = self.reader.read(method, path, headers)
        except Malformed as why:
            return self.lab.later(HOP, self.lab.answered, arrival, why.status)
        self.number += 1
        self.waiting[self.number] = arrival
        self.post(
            Taken(
                self.number,
                method,
                path,
                [("X-Correlation-Id", arrival.cid)],
                b"",
                frontend,
                plan,
                customer,
                left - HOP,
                units,
                doors,
            )
        )

    def gone(self, arrival):
        """The client has stopped waiting."""
        for number, waited in self.waiting.items():
            if waited is arrival:
                del self.waiting[number]
                return self.post(Gone(number))


class VirtualPlanner:
    """One planner: its model, its view of the counter, and the faults it plays."""

    def __init__(self, lab, n, config):
        self.lab, self.n, self.config, self.mode, self.delay = lab, n, config, "up", 0.0
        self.face, self.asks, self.starts, self.waiting, self.reports = Face(lab, lab.store), 0, 0, {}, {}
        self.restart()

    def restart(self):
        """A new start knows nothing of the leases of the one before."""
        self.starts += 1
        self.waiting, self.alarm = {}, None
        lease = self.lab.operator.planner.lease_s if self.lab.operator.planner else 2.0
        self.model = Planner(planner_settings(self.config.settings, 1000 * self.starts + self.n, int(lease * SECOND)))
        self.recovery = planner_recovery(self.lab.operator, self.config)
        self.lab.later(1, self.tell, Beat(), self.starts)

    def ask(self, forwarder, effect):
        if self.mode == "kill":
            return self.lab.later(HOP, forwarder.post, Lost(effect.planner, effect.ask, True))
        if self.mode == "silent":
            return None
        self.asks += 1
        key = len(self.waiting) + 1000 * self.asks
        self.waiting[key] = forwarder, effect
        self.tell(Ask(key, f"g{forwarder.n}", effect.ask, effect.wants))

    def tell(self, told, start=None):
        if self.mode in ("kill", "silent") or start not in (None, self.starts):
            return
        if self.recovery is not None and type(told) is Beat:
            self.mend(told)
        for order in self.model.step(self.lab.now, told):
            if type(order) is Grant:
                forwarder, effect = self.waiting.pop(order.key)
                after = HOP + (int(self.delay * SECOND) if self.mode == "slow" else 0)
                self.lab.later(after, forwarder.post, Heard(effect.planner, effect.ask, order.granted))
            elif self.recovery is not None:
                self.mend(Asked(order.name, order.amount, order.keep))
            else:
                self.face.call(Called(self), order)
        due = self.model.due if self.recovery is None else min(self.model.due, self.recovery.due)
        if self.alarm is None or due < self.alarm or self.alarm <= self.lab.now:
            self.alarm = max(self.lab.now + 1, due)
            self.lab.at(self.alarm, self.tell, Beat(), self.starts)

    def mend(self, told):
        """Through recovery, where the scenario's operator asks for it."""
        for order in self.recovery.step(self.lab.now, told):
            if type(order) is Bring:
                self.face.call(Called(self), order)
            elif type(order) is Tell:
                self.tell(Answered(order.name, order.end, order.total, order.took), self.starts)
            else:
                self.reports[order.kind] = self.reports.get(order.kind, 0) + 1

    def set_mode(self, mode, delay=0.0):
        if mode == "kill":
            for forwarder, effect in self.waiting.values():
                self.lab.later(HOP, forwarder.post, Lost(effect.planner, effect.ask))
        elif self.mode == "kill":
            self.restart()
        self.mode, self.delay = mode, delay


class Called:
    """A planner's call to the counter, as a face of the counter answers one."""

    def __init__(self, planner):
        self.planner, self.config, self.start = planner, planner.config, planner.starts

    def counted(self, effect, end, total, began):
        told = Answered(effect.name, end, total, self.planner.lab.now - began)
        if self.planner.recovery is None:
            self.planner.tell(told, self.start)
        elif self.start == self.planner.starts and self.planner.mode not in ("kill", "silent"):
            self.planner.mend(told)


class VirtualLab:
    """One run of one scenario with one seed on the emulated clock; `run()` returns the result dict, as `Lab`'s
    with `digest` and `log` (what every req came to, in order) beside it."""

    def __init__(self, scenario, seed, gatekeepers=None, progress=None, routes=None):
        """`routes`: a `RouteTable` that every gatekeeper finds its reqs in; None: the protocol's own paths."""
        self.routes, self.cost = routes, scenario.event_cost_ms * SECOND / 1000
        self.count = gatekeepers or scenario.gatekeepers
        self.scenario = parse_told({**scenario.model_dump(), "gatekeepers": self.count}, scenario.name)
        self.operator = operator_of(scenario)
        self.seed, self.progress = seed, progress or (lambda words: None)
        self.now, self.order, self.queue = BEGIN, 0, []
        self.random = random.Random(f"fernyard-virtual:{seed}")
        self.recorder, self.log, self.told, self.snapshot = Recorder(), [], [], {}
        self.restarts, self.truth, self.sent_far = [], [], [0, 0]  # dispatches in the own zone, and in others

    # The clock ---------------------------------------------------------------------------------------------

    def at(self, when, call, *args):
        self.order += 1
        heappush(self.queue, (when, self.order, call, args))

    def later(self, after, call, *args):
        self.at(self.now + after, call, *args)

    def since(self, when):
        return (when - BEGIN) / SECOND

    # What is told ------------------------------------------------------------------------------------------

    def ended(self, dispatch, end):
        if dispatch.over:
            return
        dispatch.over = True
        effect = dispatch.effect
        if end in (i.End.PASSED, i.End.FULL, i.End.ERROR):
            self.connections.back(dispatch.gatekeeper, effect.worker.rpartition("/")[2], self.now)
        if end is i.End.TIMEOUT:
            self.log.append((self.now, "timeout", dispatch.cid))
        dispatch.gatekeeper.post(
            Ended(effect.number, effect.dispatch, effect.worker, end, 0, b"served"), dispatch.began
        )

    def sent(self, arrival):
        self.pending[arrival.cid] = self.now
        self.later(HOP, self.fleet[arrival.gatekeeper].take, arrival)
        self.later(int((self.scenario.client_timeout + GRACE) * SECOND), self.given_up, arrival)

    def answered(self, arrival, status):
        sent = self.pending.pop(arrival.cid, None)
        if sent is not None:
            self._record(arrival, sent, (self.now - sent) / SECOND, status)

    def given_up(self, arrival):
        sent = self.pending.pop(arrival.cid, None)
        if sent is not None:
            self._record(arrival, sent, None, 0)
            self.fleet[arrival.gatekeeper].gone(arrival)

    def _record(self, arrival, sent, took, status):
        self.recorder.add(
            Outcome(
                arrival.cid,
                arrival.customer,
                arrival.units,
                self.since(sent),
                took,
                status,
                self.scenario.client_timeout,
                arrival.route,
            )
        )
        self.log.append((self.now, status, arrival.cid))

    # The fault timeline ------------------------------------------------------------------------------------

    def apply(self, step, ending):
        target, fault = step.target, step.fault
        if target.partition(":")[0] == "counter":
            self._counter(step, ending)
        elif target.startswith("discovery:"):
            name = target.partition(":")[2]
            lifecycle = {"drain": "draining", "gone": "gone", "back": "ready"}[fault]
            self._tell(name, "ready" if ending else lifecycle)
            if ending or fault == "drain":
                self.workers[name].set_fault(Fault.NONE.value if ending else Fault.DRAIN.value)
        elif target == "registry":
            if fault == "mark":
                self.registry.mark()
            else:
                self.registry.fault, self.registry.delay = "none" if ending else fault, step.delay
        elif target.startswith("planner:"):
            list(self.planners.values())[int(target.partition(":")[2])].set_mode("up" if ending else fault, step.delay)
        elif fault == "starve":
            self.fleet[int(target.partition(":")[2])].slower = 1.0 if ending else max(1.0, step.delay)
        elif target.startswith("gatekeeper:"):
            self._gatekeeper(int(target.partition(":")[2]), ending)
        elif fault == "restart":
            self.workers[target].restart()
            self.restarts.append((self.since(self.now), target))
            self._tell(target, "ready", started=self.now // 10)
        else:
            self.workers[target].set_fault(Fault.NONE.value if ending else fault)
        self.progress(f"{self.since(self.now):.1f} s: {'end of ' if ending else ''}{fault} at {target}")

    def _counter(self, step, ending):
        face = step.target.partition(":")[2]
        faces = [self.faces[int(face)]] if face else [*self.faces, *(p.face for p in self.planners.values())]
        mode = "up" if ending else step.fault
        if mode == "split" or step.fault == "split":
            # One store for all faces that split off at one moment: they are one half of the fleet.
            other = self.split.setdefault((step.at, step.until), CounterStore())
            for face in faces:
                face.store = self.store if ending else other
        elif mode == "mark":
            self.snapshot = self.store.snapshot()
        elif mode == "fresh":
            self.store.forget()
        elif mode == "stale":
            self.store.restore(self.snapshot)
        else:
            for face in faces:
                face.mode, face.delay = mode, step.delay

    def poll(self, gatekeeper, trust):
        """One gatekeeper asks the registry, as its watch would; a silent or absent one fails."""
        registry, told = self.registry, None
        if registry.fault != "unreachable":
            asked = trust.ask
            body = registry.answer("/eureka/apps" if asked == "full" else "/eureka/apps/delta")
            told = (Full if asked == "full" else Delta)(read_listing(body, "application/json"))
        # What is held longer than a call may take is never heard.
        held = int(registry.delay * SECOND) if registry.fault == "slow" else 0
        after = HOP + held
        if told is None or held > self.operator.eureka.timeout_s * SECOND:
            told, after = Failed(), HOP if told is None else int(self.operator.eureka.timeout_s * SECOND)
        self.later(after + HOP, self.polled, gatekeeper, trust, told)

    def polled(self, gatekeeper, trust, told):
        changes = trust.step(self.now / SECOND, told)
        if changes:
            machines = tuple(
                i.Machine(
                    c.instance.key,
                    c.instance.started * 10,
                    c.instance.cell,
                    gatekeeper.config.machines.zones.get(c.instance.zone, -1),
                    c.phase,
                )
                for c in changes
            )
            gatekeeper.post(
                Told(
                    False,
                    machines,
                    {c.instance.key: c.instance.address for c in changes if c.phase is not i.Phase.GONE},
                )
            )
        again = isinstance(told, Delta) and trust.ask == "full"
        self.later(1 if again else int(self.operator.eureka.poll_s * SECOND), self.poll, gatekeeper, trust)

    def _registry(self, name, lifecycle, started=0):
        told = self.entries[name]
        self.registry.change(
            self.since(self.now), name, told["hostPort"], lifecycle, told["zone"], told["cell"], started
        )
        self.told = self.registry.told

    def _tell(self, name, lifecycle, started=0):
        """Discovery tells a change; each gatekeeper hears it within `TOLD_WITHIN`. A drain counts as told once the last
        has heard it, its end once the first may have."""
        if self.scenario.registry == "eureka":
            return self._registry(name, lifecycle, started)
        self.generation += 1
        entry = {**self.entries[name], "lifecycle": lifecycle, "startedAtMs": started}
        self.entries[name] = entry
        self.news[name] = self.generation, entry
        for gatekeeper in self.fleet:
            if self.crowd is None or gatekeeper in self.listening:
                self.later(self.random.randrange(1, TOLD_WITHIN), self.tell, gatekeeper, [entry], self.generation)
        heard = self.crowd is None or all(g in self.listening for g in self.fleet if g.alive)
        at = self.now + (0 if lifecycle == "ready" else TOLD_WITHIN if heard else COUNTS_AS_TOLD)
        self.told.append((self.since(at), self.generation, name, lifecycle))

    def tell(self, gatekeeper, entries, generation=None):
        """One gatekeeper hears of entries; what it has heard is the list it starts with when it starts again."""
        if not gatekeeper.alive:
            return
        gatekeeper.told = max(gatekeeper.told, generation or self.generation)
        known = {**self.had[gatekeeper.n][1], **{entry["instanceId"]: entry for entry in entries}}
        self.had[gatekeeper.n] = gatekeeper.told, known
        _, whole, machines, addresses = gatekeeper.config.machines.read(
            {"generation": gatekeeper.told, "reset": False, "instances": entries}
        )
        if machines:
            gatekeeper.post(Told(whole, machines, addresses))

    def _gatekeeper(self, n, ending):
        """Killed: its connections break, so its clients see a failure at once; back: a new one with the same
        configuration."""
        if ending:
            self.fleet[n] = self._start(n)
            self.fleet[n].start()
        else:
            self.fleet[n].alive = False
            self.connections.lost(gatekeeper=self.fleet[n])
            self.listening.discard(self.fleet[n])
            for arrival in self.fleet[n].waiting.values():
                self.later(HOP, self.answered, arrival, 0)

    # The run -----------------------------------------------------------------------------------------------

    def _config(self, n):
        return read_config(
            configuration(self.scenario, self.seed, n, 1, "127.0.0.1:1", "127.0.0.1:1", list(self.had[n][1].values()))
        )

    def _start(self, n):
        return Fleeted(self, n, self._config(n))

    def run(self):
        scenario = self.scenario
        self.store, self.split, self.generation, self.pending = CounterStore(), {}, 1, {}
        self.faces = [Face(self, self.store) for _ in range(self.count)]
        # Asked for the list: who hears changes, after how long each start did, the newest change of each worker.
        self.crowd = Crowded(scenario.discovery) if scenario.discovery else None
        self.listening, self.listened, self.news = set(), [], {}
        self.workers = {told.name: Worker(self, told) for told in scenario.workers}
        self.entries = {
            told.name: {
                "instanceId": told.name,
                "hostPort": f"127.0.0.1:{20_000 + n}",
                "zone": told.zone,
                "cell": told.cell,
                "lifecycle": "ready",
                "startedAtMs": 0,
            }
            for n, told in enumerate(scenario.workers)
        }
        self.had = [(1, dict(self.entries) if scenario.registry == "discovery" else {}) for _ in range(self.count)]
        self.planners = {}
        if scenario.planners:
            for n, address in enumerate(self.operator.forwarder.planners):
                self.planners[address] = VirtualPlanner(self, n, self._config(n))
        if self.operator is not None and self.operator.accord is not None:
            self.order_planners = OrderPlanners(self)
        self.fleet = [self._start(n) for n in range(self.count)]
        self.connections = Connections(int(self.fleet[0].config.limits.worker_idle * SECOND))
        for gatekeeper in self.fleet:
            gatekeeper.start()
        if scenario.registry == "eureka":
            self.registry = RegistryModel()
            for told in scenario.workers:
                self._registry(told.name, "ready")
            self.registry.told.clear()
            for gatekeeper in self.fleet:
                # At moments of their own, as processes started one after another would.
                settings = self.operator.eureka.trust()
                self.later(self.random.randrange(1, SECOND // 4), self.poll, gatekeeper, Trust(settings))
        for arrival in arrivals(scenario, self.seed):
            self.at(BEGIN + int(arrival.at * SECOND), self.sent, arrival)
        for step in scenario.faults:
            self.at(BEGIN + int(step.at * SECOND), self.apply, step, False)
            if step.until:
                self.at(BEGIN + int(step.until * SECOND), self.apply, step, True)
        self.later(0, self.sample)
        end = BEGIN + int((scenario.duration + scenario.client_timeout + GRACE) * SECOND) + HOP
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, args = heappop(self.queue)
            call(*args)
        return self._result()

    def sample(self):
        """What the counter says of each customer's bucket, beside the units all gatekeepers have standing in it: how
        far the estimates are from the truth. Where faces see several counters, the one furthest off."""
        for customer in self.scenario.customers:
            number, true, name = int(customer.id, 16), 0.0, None
            for gatekeeper in self.fleet:
                known = gatekeeper.reducer.gatekeeper.customers.get(number)
                tally = next((t for t in known.tallies if not t.by_open), None) if known else None
                if tally is not None and tally.bucket == self.now // tally.length:
                    true += tally.own
                    name = str(gatekeeper.reducer.gatekeeper._name(tally, tally.bucket))
            if name is not None:
                told = min(face.store.totals.get(name, (0.0,))[0] for face in self.faces)
                self.truth.append((round(self.since(self.now), 2), customer.id, round(true, 3), round(told, 3)))
        self.later(SECOND // 10, self.sample)

    def _result(self):
        faults = sum(g.counts.read().get("faults", 0) for g in self.fleet)
        exits = [{"exit": 0, "crashed": False, "faults": g.counts.read().get("faults", 0)} for g in self.fleet]
        dispatches = {name: worker.dispatches for name, worker in self.workers.items()}
        result = assemble(
            self.scenario,
            self.seed,
            self.count,
            self.recorder,
            dispatches,
            self.told,
            [] if not faults else exits,
            {n: w.model for n, w in self.workers.items()},
            [face.calls for face in (*self.faces, *(p.face for p in self.planners.values()))],
            BEGIN / SECOND,
            self.restarts,
        )
        counts, deaths = {}, [late for worker in self.workers.values() for late in worker.deaths]
        waits = sorted(self.listened)
        fleet = {
            "connections opened, worker and second": self.connections.figures(self.scenario.duration),
            "cold push, of what fells one": round(
                result["verdict"]["cold_push"] / self.fleet[0].config.settings.fall_multiple, 3
            ),
            "dispatches outside the own zone, share": round(self.sent_far[1] / max(1, sum(self.sent_far)), 4),
            "lists asked for": self.crowd.counts if self.crowd else {},
            "until a list is heard, s": {
                "starts": len(waits),
                "median": waits[len(waits) // 2] / SECOND if waits else None,
                "most": waits[-1] / SECOND if waits else None,
            },
            "from a death to the last dispatch, s": {
                "deaths": len(deaths),
                "most": max(deaths, default=0) / SECOND,
                "mean": round(sum(deaths) / len(deaths) / SECOND, 3) if deaths else 0.0,
            },
        }
        for gatekeeper in self.fleet:
            for kind, n in gatekeeper.counts.read().items():
                counts[kind] = counts.get(kind, 0) + n
        digest = hashlib.blake2b(digest_size=8)
        for line in self.log:
            digest.update(repr(line).encode())
        return {
            **result,
            "clock": "emulated",
            "fleet": fleet,
            "counts": dict(sorted(counts.items())),
            "digest": digest.hexdigest(),
            "orders": self.order_planners.told() if self.operator and self.operator.accord else None,
            "truth": self.truth,
            "planner_asks": [planner.asks for planner in self.planners.values()],
        }
