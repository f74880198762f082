"""The agreed order in the laboratory, on the emulated clock: planners and followers in one process, with links that are
cut (also one way), slowed and doubled, planners and followers killed and paused, stores lost and full, clocks set apart. One
seed gives the same run. What is checked is taken from records of what was decided, obeyed and stored, never from what an
instance says of itself.

`Schedule` draws faults at random from a seed; a failing seed is played again with `play(seed)`.
"""

import random
from dataclasses import dataclass, field
from heapq import heappop, heappush

from ..accord.follower import Answered, Beat as FollowerBeat, Follow, Follower, FollowerSettings, Obey, Unheard
from ..accord.planner import Agreed, Changed, Followed, OrderPlanner, PlannerSettings, Reply, Summary, Tell
from ..accord.register import Beat, Heard, Send, Store, Stored

SECOND = 10_000
LEASE = 2 * SECOND
HOP, SLOWEST = 5, 200  # a message is on its way for so long, drawn by chance; on a slow link twenty times
STORED = 20  # until a store is done
NEVER = 1 << 60


@dataclass(slots=True)
class Process:
    """One planner or follower. `offset`: how far its clock is from the lab's; `ends`: when its pause is over; `parts`: of a
    follower, what obeys and reports: name -> an object with `obey(now, value) -> orders` and `report(now)`."""

    name: str
    offset: int
    model: object = None
    life: int = 0
    alive: bool = True
    ends: int = 0
    alarm: int = NEVER
    parts: dict = field(default_factory=dict)


@dataclass(slots=True)
class Records:
    """`decided`: version -> (order, when first known to a planner); `obeyed`: follower -> [(when, version or None)];
    `wrong`: what broke."""

    decided: dict = field(default_factory=dict)
    obeyed: dict = field(default_factory=dict)
    wrong: list = field(default_factory=list)
    messages: int = 0
    changed: list = field(default_factory=list)


class AgreementLab:
    def __init__(
        self,
        seed,
        planners=3,
        followers=6,
        advisers=None,
        register=None,
        lease=LEASE,
        begin=1_000_000,
        skew=100 * SECOND,
        parts=None,
    ):
        """`advisers(n)`: of planner n; `parts(process)`: of a follower, at each start; `carried(process, orders)` may be
        replaced to hear what parts order; `register`: a `Register` to put in the place of the program's (a bug built in);
        `skew`: how far clocks are apart."""
        self.random, self.now, self.order, self.queue = random.Random(f"agreement:{seed}"), begin, 0, []
        self.parts, self.carried = parts or (lambda process: {}), lambda process, orders: None
        self.records, self.lease, self.count, self.make_register = Records(), lease, planners, register
        self.advisers = advisers or (lambda n: {})
        self.stores, self.failing = [None] * planners, set()
        self.cuts, self.slow = set(), set()  # (from, to) names
        self.planners = [Process(f"p{n}", self.random.randrange(skew)) for n in range(planners)]
        self.followers = [Process(f"f{n}", self.random.randrange(skew)) for n in range(followers)]
        self.addresses = tuple(process.name for process in self.planners)
        self.links, self.asks = {}, {}
        for n in range(planners):
            self._start_planner(n)
        for n in range(followers):
            self._start_follower(n)

    # The clock ---------------------------------------------------------------------------------------------

    def at(self, when, call, *args):
        self.order += 1
        heappush(self.queue, (when, self.order, call, args))

    def later(self, after, call, *args):
        self.at(self.now + after, call, *args)

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heappop(self.queue)
            call(*args)
        self.now = until

    def run_until(self, true, within=60 * SECOND):
        """Plays until it is so; False where it never is."""
        end = self.now + within
        while not true():
            if not self.queue or self.queue[0][0] > end:
                self.now = end
                return False
            self.now, _, call, args = heappop(self.queue)
            call(*args)
        return True

    def step(self, process, life, told):
        """Told to a process, unless it has died; once its pause is over, where it stands still."""
        if not process.alive or process.life != life:
            return
        if self.now < process.ends:
            return self.at(process.ends, self.step, process, life, told)
        # Whatever it is told first after a pause, its own timer included, it sees the time as it is.
        if process.parts and type(told) is FollowerBeat:
            self.report(process)
        for order in process.model.step(self.now + process.offset, told):
            self.carry_out(process, order)
        due = process.model.due - process.offset
        if due < process.alarm or process.alarm <= self.now:
            process.alarm = max(self.now + 1, due)
            self.at(process.alarm, self.ring, process, process.life, process.alarm)

    def ring(self, process, life, alarm):
        if process.life == life and process.alarm == alarm:
            process.alarm = NEVER
            self.step(process, life, Beat() if process in self.planners else FollowerBeat())

    def carry(self, source, to, told):
        """Over a link: in any order, sometimes twice where that does harm to nobody, or never."""
        if (source.name, to.name) in self.cuts:
            return
        self.records.messages += 1
        slow = 20 if (source.name, to.name) in self.slow else 1
        for _ in range(1 + (self.random.random() < 0.02)):
            after = slow * (HOP + self.random.randrange(SLOWEST if self.random.random() < 0.05 else HOP))
            self.later(after, self.step, to, to.life, told)

    def carry_out(self, process, order):
        kind = type(order)
        if kind is Send:
            me = self.planners.index(process)
            self.carry(process, self.planners[order.planner], Heard(me, order.message))
        elif kind is Store:
            n, life = self.planners.index(process), process.life
            self.later(1 + self.random.randrange(STORED), self.store, n, life, order)
        elif kind is Tell:
            self.carry(process, self.planners[order.planner], Summary(self.planners.index(process), order.reports))
        elif kind is Follow:
            planner = self.planners[self.addresses.index(order.planner)]
            if not planner.alive:
                return self.later(HOP, self.step, process, process.life, Unheard(order.planner))
            key = len(self.asks)
            self.asks[key] = process, process.life, order.planner
            self.carry(process, planner, Followed(key, process.name, order.number, order.have, order.report))
        elif kind is Reply:
            follower, life, planner = self.asks[order.key]
            if follower.life == life:
                self.carry(process, follower, Answered(planner, order.standing))
        elif kind is Agreed:
            self._decided(order.order)
        elif kind is Changed:
            self.records.changed.append(
                (self.now, process.name, order.key, order.order and order.order.version, order.unfit)
            )
        elif kind is Obey:
            self.obeyed(process, order.order)

    def store(self, n, life, order):
        process = self.planners[n]
        if process.life != life or not process.alive:
            # Killed before it was on disk, or after: either may be.
            if self.random.random() < 0.5 and n not in self.failing and process.alive is False:
                self.stores[n] = order.vote
            return
        well = n not in self.failing
        if well:
            self.stores[n] = order.vote
        self.step(process, life, Stored(order.number, well))

    # What is recorded --------------------------------------------------------------------------------------

    def _decided(self, order):
        known = self.records.decided.setdefault(order.version, (order, self.now))
        if known[0].parts != order.parts:
            self.records.wrong.append(f"{self.now}: two orders of version {order.version}")

    def obeyed(self, follower, order):
        versions = self.records.obeyed.setdefault(follower.name, [])
        if order is not None:
            before = [version for life, _, version in versions if version is not None and life == follower.life]
            if before and order.version < before[-1]:
                self.records.wrong.append(f"{self.now}: {follower.name} goes back from {before[-1]} to {order.version}")
            if order.version not in self.records.decided:
                self.records.wrong.append(f"{self.now}: {follower.name} obeys {order.version}, which none decided")
        versions.append((follower.life, self.now, order and order.version))
        for name, part in follower.parts.items():
            self.carried(follower, part.obey(self.now + follower.offset, order and order.parts.get(name)))

    def check(self):
        """Every order that held at a follower stood, less than a lease before, as the newest; looked at each tenth of a
        second by the runs that call it."""
        for process in self.followers:
            if not process.alive or self.now < process.ends:
                continue
            held = process.model.holds(self.now + process.offset)
            if held is None:
                continue
            newer = [at for version, (_, at) in self.records.decided.items() if version > held.version]
            if newer and min(newer) < self.now - self.lease:
                self.records.wrong.append(
                    f"{self.now}: {process.name} holds {held.version} "
                    f"{(self.now - min(newer)) / SECOND:.2f} s after a newer one"
                )

    # Faults ------------------------------------------------------------------------------------------------

    def _start_planner(self, n):
        process = self.planners[n]
        process.life = self.random.getrandbits(40)
        process.alive, process.ends, process.alarm = True, 0, NEVER
        process.model = OrderPlanner(
            PlannerSettings(n, self.count, process.life, "lab", self.lease), self.stores[n], self.advisers(n)
        )
        if self.make_register is not None:
            process.model.register = self.make_register(n, self.count, process.life, self.stores[n], "lab")
        self.later(1 + self.random.randrange(SECOND // 10), self.step, process, process.life, Beat())

    def _start_follower(self, n):
        process = self.followers[n]
        process.life += 1
        process.alive, process.ends, process.alarm = True, 0, NEVER
        process.model = Follower(
            FollowerSettings(process.name, self.addresses, self.lease), self.random.getrandbits(30)
        )
        process.parts = self.parts(process)
        self.later(1 + self.random.randrange(SECOND // 10), self.step, process, process.life, FollowerBeat())

    def kill(self, process):
        process.alive = False
        for follower in self.followers:
            if process in self.planners:
                self.later(HOP, self.step, follower, follower.life, Unheard(process.name))

    def start(self, process, store=True):
        """Anew; without its store where `store` is False."""
        if process in self.planners:
            n = self.planners.index(process)
            if not store:
                self.stores[n] = None
            self._start_planner(n)
        else:
            self._start_follower(self.followers.index(process))

    def pause(self, process, length):
        process.ends = max(process.ends, self.now + length)

    def cut(self, ones, others, both=True):
        """No message goes from `ones` to `others`, nor back where `both`; `heal` ends all cuts."""
        for one in ones:
            for other in others:
                self.cuts.add((one.name, other.name))
                if both:
                    self.cuts.add((other.name, one.name))

    def heal(self):
        self.cuts.clear()
        self.slow.clear()

    def propose(self, planner, key, change):
        from ..accord.planner import Change

        self.step(planner, planner.life, Change(key, change))

    def report(self, follower):
        now = self.now + follower.offset
        follower.model.report = {name: part.report(now) for name, part in follower.parts.items()}

    @property
    def newest(self):
        return max(self.records.decided, default=0)

    def settled(self):
        """All that live obey the newest order."""
        return self.newest > 0 and all(
            (held := process.model.holds(self.now + process.offset)) is not None and held.version == self.newest
            for process in self.followers
            if process.alive and self.now >= process.ends
        )


def play(seed, length=120, planners=3, followers=6, register=None, lose_stores=True):
    """Random faults for `length` seconds, then all is healed: the records, with `wrong` filled where something broke, and
    whether all settled on one order again."""
    lab = AgreementLab(seed, planners, followers, register=register)
    chance, everyone = random.Random(f"schedule:{seed}"), [*lab.planners, *lab.followers]
    end, names = lab.now + length * SECOND, iter(range(1 << 30))
    lost = set()

    def adds(name):
        def change(order):
            log = order.parts.get("log", [])
            return order if name in log else order.with_part("log", [*log[-20:], name])

        return change

    def fault():
        kind = chance.randrange(10)
        process = chance.choice(lab.planners if chance.random() < 0.7 else everyone)
        if kind == 0 and process.alive:
            lab.kill(process)
            lab.later(chance.randrange(6 * SECOND), restart, process)
        elif kind == 1:
            lab.pause(process, chance.randrange(8 * SECOND))
        elif kind in (2, 3):
            side = [p for p in everyone if chance.random() < 0.4]
            lab.cut(side, [p for p in everyone if p not in side], chance.random() < 0.7)
            lab.later(chance.randrange(5 * SECOND), lab.heal)
        elif kind == 4:
            for one in lab.planners:
                for other in everyone:
                    if chance.random() < 0.3:
                        lab.slow.add((one.name, other.name))
        elif kind == 5 and process in lab.planners:
            n = lab.planners.index(process)
            lab.failing.add(n)
            lab.later(chance.randrange(4 * SECOND), lab.failing.discard, n)
        elif (
            kind == 6
            and lose_stores
            and process in lab.planners
            and process.alive
            and not lost
            and all(p.alive for p in lab.planners)
            and all(lab.stores)
        ):
            # One at a time: a majority of the others has its store, as the page asks.
            lab.kill(process)
            lost.add(process.name)
            lab.later(chance.randrange(SECOND), restart, process, False)
        else:
            planner = chance.choice(lab.planners)
            lab.propose(planner, next(names), adds(f"c{next(names)}"))
        if lab.now < end:
            lab.later(chance.randrange(SECOND), fault)

    def restart(process, store=True):
        if not process.alive:
            lab.start(process, store)
            if not store:
                lab.later(20 * SECOND, lost.clear)

    def look():
        lab.check()
        if lab.now < end + 30 * SECOND:
            lab.later(SECOND // 10, look)

    lab.later(3 * SECOND, fault)
    lab.later(0, look)
    lab.run(end)
    lab.heal()
    lab.failing.clear()
    for process in everyone:
        if not process.alive:
            lab.start(process)
    whole = lab.run_until(lab.settled, 30 * SECOND)
    return lab.records, whole
