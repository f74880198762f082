"""Every decision of a gatekeeper.

`Gatekeeper().step(now, happening)` returns the orders to carry out; the first happening is `Launched`. Types:
`fernyard/interface.py`. Times are tenths of a millisecond; chance is drawn from the instance's own seed.
"""

from bisect import insort
from collections import deque
from itertools import islice
from random import Random

from .estimate import LIMIT_BURSTS, LONGEST_KEEP, SECOND, Mean, Tally, bucket_length, sure_part
from .interface import (
    NEVER_RAN,
    Abort,
    Add,
    Arrived,
    Counted,
    Deny,
    Dispatch,
    End,
    Ended,
    Follow,
    Group,
    Launched,
    Left,
    News,
    Phase,
    Repeat,
    Roster,
    Streaming,
    Wake,
    Woke,
)

COUNT, PLACE, OUTCOME = "count", "place", "outcome"  # what the path of a req waits for
# The counter: failures in a row until none is waited for; the least part of the calls that is made, what
# an answer, a slow one, a failed call make of it; below which parts takes-back wait and ends are not called; the
# share of the time-out past a call's least time that is slow; how soon the least fades; calls ahead of credit.
BLIND_AFTER, LEAST_PART, RAISE, SLOW_CUT, FAIL_CUT = 3, 0.03, 1.08, 0.9, 0.7
CROWDED, CALLED_OFF, SLOW_CALL, FORGET, AHEAD = 0.9, 0.5, 0.3, 0.002, 3.0
# Unasked: our share of the limit in parts of what comes here; spread of small numbers; names with units owed.
UNASKED, SPREAD, MOST_OWED = 1.2, 0.7, 5000
# Workers: places at first, fewest over all, most here; failures in a row that bench one, and for how long.
FIRST_PLACES, FEWEST_PLACES, MOST_PLACES = 6.0, 2.0, 16.0
GROW, SHRINK, FEWEST_TELL = 0.25, 0.9, 6.0  # of the places, while all that is out is answered once
BENCH_AFTER, BENCH, LONGEST_BENCH, PACE_TAU = 3, SECOND // 2, 4 * SECOND, 5 * SECOND
SLOW_TAU, LONGEST_TAU, WORK_TAU = 3 * SECOND, 60 * SECOND, 5 * SECOND
FAILED_AS = 4.0  # a failure weighs as an answer this many times too slow
QUICK, SLOW = 0.25, 0.4  # shares of the response target that move the places
ELSEWHERE, MET, DRAWN = 1.1, 0.1, 8  # cost of another zone; answers left of one met; workers looked at
COLD_PART = 0.6  # of the push told to be too much, for a cold worker
GUESS, GUESS_WEIGHT = 0.125, 0.2  # of the response target, in answers, until some tell
LAST_START, LOST = 2.0, 4.0  # usual times: left to begin a req; out and likely lost
ANSWER_MARGIN = SECOND // 50  # before the client timeout, for a req still in line
TIDY, IDLE = 10 * SECOND, 70 * SECOND  # beyond any bucket kept and any ceiling filled


class Customer:
    """One customer: its plan, its tallies and its part of the ceiling."""


class Req:
    """One req, from its arrival to the end of its last dispatch."""


class Worker:
    """What outcomes here have told of one life of a worker."""

    def place(self, group):
        return {Group.ZONE: self.zone, Group.CELL: self.cell}.get(group)


class Gatekeeper:
    def step(self, now, told):
        self.now, self.orders = now, []
        HEAR.get(type(told), Gatekeeper._nothing)(self, told)
        self._serve_line()
        return self.orders

    # The path of a req -------------------------------------------------------------------------------------

    def _path(self, req):
        """The ordinary path of a req, top to bottom; it yields while it waits."""
        customer, sure = req.customer, False
        for tally in customer.tallies:
            tally.roll(self.now)
            units = 1.0 if tally.by_open else req.units
            told = (yield COUNT) if self._ask(req, tally, units) else None
            if told is not None and told.end is End.PASSED:
                known = tally.was_known and not (tally.by_open and tally.was)
                decides = tally.estimate(self.now, max(tally.was, tally.limit)) > tally.limit
                if decides and not known and (self.part > CROWDED or self._ceiling(customer) < req.units):
                    self._call(0.0, req, tally, tally.bucket - 1)
                    yield COUNT
                over = tally.estimate(self.now) > tally.limit
                was = tally.was if tally.was_known else max(tally.was, tally.sure)
                sure = sure or tally.estimate(self.now, was) <= tally.sure
            else:
                over = self._over_unasked(tally, units)
            req.over = max(req.over, tally.estimate(self.now) / tally.limit)
            if over:
                return self._deny(req, self._return_in(tally, units))
        if not sure:
            if self._ceiling(customer) < req.units:
                return self._deny(req)
            req.promised = req.units
            customer.promised += req.promised
        while True:
            if (worker := (yield PLACE)) is None:
                return self._give_up(req)
            if not req.sent:
                customer.promised -= req.promised
                customer.store -= req.promised
                req.promised = 0.0
            self._dispatch(req, worker)
            ended = yield OUTCOME
            if ended.end is End.PASSED:
                return None
            if not self._may_go_again(req):
                return self._give_up(req)

    def _may_go_again(self, req):
        if len(req.sent) >= self.set.max_dispatches or req.streams or self.now >= req.left_at - ANSWER_MARGIN:
            return False
        repeat = self.set.frontends[req.frontend].repeat
        uniqued = repeat is Repeat.UNIQUED and self.now < self._window_end(req)
        return req.first_ran is None or repeat is Repeat.REPLAYABLE or uniqued

    def _window_end(self, req):
        """A uniqued req that may have run goes out again only while its group remembers it."""
        return req.first_ran + self.set.frontends[req.frontend].window if req.group else req.left_at

    def _give_up(self, req):
        """Answer at once; a denial says that trying again is harmless."""
        if req.first_ran is None or self.set.frontends[req.frontend].repeat is Repeat.REPLAYABLE:
            return self._deny(req, min(self.set.longest_return, SECOND // 2))
        self.orders.append(Abort(req.id))
        self._close(req)

    def _deny(self, req, return_in=0):
        self.orders.append(Deny(req.id, max(0, min(self.set.longest_return, return_in))))
        return self._close(req)

    # The counter -------------------------------------------------------------------------------------------

    def _name(self, tally, bucket):
        return tally.customer.id | (((bucket * 2 + tally.by_open) & 0x3FFFFFFF) << 33)

    def _ours(self, tally):
        return UNASKED * max(tally.share, 1.0 / tally.customer.doors) * tally.limit

    def _over_unasked(self, tally, units):
        """Without an answer: what the last total makes sure of, and our share of the limit on own counts."""
        ours = self._ours(tally)
        own = tally.was_own * tally.overlap(self.now) + tally.own
        # Where doors are many the share is less than one req: the first is let in all the same.
        sure = not tally.by_open and tally.estimate(self.now) > tally.limit
        return sure or own > max(units, ours + SPREAD * ours**0.5)

    def _return_in(self, tally, units):
        """When the estimate will have room again, if nothing more comes."""
        spare = max(0.0, tally.limit - units - tally.total) / max(tally.was, 1e-9)
        rest = tally.length - self.now % tally.length
        return SECOND // 5 if tally.by_open else max(0, int(rest - spare * tally.length))

    def _ask(self, req, tally, units):
        """Add the req's units to its bucket. False: decide now, on own counts (see `_counted`)."""
        tally.put(tally.bucket, units)
        req.counted.append((tally, tally.bucket, units, True))
        if not self.set.may_count:
            return False
        # Ahead go those that, without an answer, each door lets in, or denies. Plans by dispatches out stay
        # behind, they need a second call at the end.
        ahead = not tally.by_open and (
            self._ours(tally) < units
            or tally.estimate(self.now) <= tally.limit
            and (self._over_unasked(tally, units) or self._ceiling(req.customer) < req.units)
        )
        if not self._may_call(-AHEAD if ahead else 1.0):
            if tally.by_open:
                # A +1 told late would only need its -1 told too: this dispatch stays on own counts.
                req.counted[-1] = (tally, tally.bucket, units, False)
            else:
                self._owe(self._name(tally, tally.bucket), units)
            return False
        waits = self.silent < BLIND_AFTER
        self._call(units, req if waits else None, tally, tally.bucket)
        return waits

    def _may_call(self, credit):  # for a part of what is wanted: the same at few gatekeepers and at many
        self.credit = min(2.0, self.credit + self.part)
        may = self.credit >= credit
        self.credit -= may
        return may

    def _call(self, units, req, tally, bucket, name=None):
        name = self._name(tally, bucket) if name is None else name
        units += self.owed.pop(name, 0.0)
        self.calls.setdefault(name, deque()).append((req, tally, bucket, units))
        self.orders.append(Add(name, units, min(LONGEST_KEEP, 3 * tally.length + SECOND)))

    def _take_back(self, req):
        """Units of a req never sent, and the dispatch of one that has ended, go off the name they went on."""
        for tally, bucket, units, told in req.counted:
            tally.put(bucket, -units)
            if not told or not self.set.may_count or (bucket + 3) * tally.length < self.now:
                continue
            if self.part > CROWDED or tally.by_open and (self.part > CALLED_OFF or self._may_call(1.0)):
                self._call(-units, None, tally, bucket)
            else:
                self._owe(self._name(tally, bucket), -units)
        req.counted = []

    def _counted(self, told):
        """A counter that is silent, slow or crowded stalls every req. Calls failed or slow cut the part of
        them that is made, answers raise it; a req without one is decided at once on what is known, and its
        units ride on the next add. Also covers a lost link. Harms a customer that has just moved here."""
        pending = self.calls[told.name]
        req, tally, bucket, units = pending.popleft()
        if not pending:
            del self.calls[told.name]
        if told.end is End.PASSED:
            if self.silent >= BLIND_AFTER:
                self.part = max(self.part, self.part_then)
            self.silent = 0
            self.least = min(told.took, self.least + FORGET * (told.took - self.least))
            slow = told.took - self.least > SLOW_CALL * (self.set.count_timeout - self.least)
            self.part = self.part * SLOW_CUT if slow else min(1.0, self.part * RAISE)
            total = told.total + self.owed.get(told.name, 0.0) + sum(c[3] for c in pending)
            tally.told(bucket, total, units)
            if self.owed and self.part > CROWDED and (name := next(iter(self.owed))) not in self.calls:
                self._call(0.0, None, tally, -9, name)
        else:
            self.silent += 1
            # Three lost calls in a crowd are no silence: after one the part is what it was then, not more.
            self.part_then = self.part if self.silent <= BLIND_AFTER else self.part_then
            self.part *= FAIL_CUT if told.end is not End.RESET else 1.0  # a lost link is no crowd
            if told.end in NEVER_RAN and units:
                self._owe(told.name, units)
        self.part = max(LEAST_PART, self.part)
        if req is not None and not req.closed and req.waits == COUNT:
            self._resume(req, told)

    # The ceiling -------------------------------------------------------------------------------------------

    def _ceiling(self, customer):
        """Our share of what told totals leave of the hard ceiling, for reqs none made sure of. It fills from
        launch, so that a restart never grants a second depth. Harms a customer of one gatekeeper only."""
        customer.store += (self.now - customer.store_at) * customer.refill
        customer.store, customer.store_at = min(customer.depth, customer.store), self.now
        return customer.store - customer.promised

    # The line and the workers ------------------------------------------------------------------------------

    def _serve_line(self):
        """Whenever a place is free the next piece gets it: customers that use least of their quota first."""
        for req in list(self.line):
            best = self._draw(req) if self.all_out < self._room(req) else None
            if best is not None:
                self.line.remove(req)
                self._resume(req, best)
            elif not req.group:
                return

    def _room(self, req):
        """Dispatches that may be out from here: our places and the spread that chance gives so few. A part of
        one is given by chance, anew after each usual answer time: rounded up, all together hold half as much
        again and jam the workers. Harms a lone req when the places are few: it may wait for that time."""
        if self.now >= self.drawn_until:
            self.chance, self.drawn_until = self.random.random(), self.now + max(1, int(self._usual(req)))
        room = self.fill * len(self.ready)
        room = int(room + SPREAD * room**0.5 + self.chance)
        if self.all_out >= room and self.woken < self.drawn_until:
            self.woken = self.drawn_until
            self._wake(self.drawn_until, self._nothing)
        return room

    def _draw(self, req):
        """The best of the first few workers with a place, in an order kept up as they answer."""
        if req.group and self.now >= self._window_end(req):
            return None
        fit = (w for w in self.ready if not req.group or w.place(req.group[0]) == req.group[1])
        return min(islice(filter(self._has_place, fit), DRAWN), key=self._cost, default=None)

    def _rank(self, worker):
        """Puts a worker where it stands now: the fleet is never ranked for a req."""
        if worker in self.ready:
            self.ready.remove(worker)
            worker.rank = self._cost(worker)
            insort(self.ready, worker, key=lambda w: w.rank)

    def _has_place(self, worker):
        # When most workers fail the trouble is not theirs: nobody is benched.
        if worker.id in self.benched and 2 * len(self.benched) <= len(self.ready):
            return False
        if self._cold(worker):
            return worker.out < max(1.0, self.fill) and self._cold_credit(worker) >= 0
        trial = worker.run >= BENCH_AFTER
        return worker.out < (1.0 if trial else max(1.0, 2 * self.fill / worker.slowness.read(self.now)))

    def _cold(self, worker):
        return worker.started and self.now - worker.started < self.set.warm_up

    def _cold_credit(self, worker):
        """A cold worker earns work at its cold share of what a warm one gets here and starts owing a part
        of a piece drawn by chance: the first pieces of all gatekeepers are spread over time. Also covers one
        that restarts again and again, and waves. Harms when most are cold at once: see the floor."""
        if not self.warm:
            return 0.0 if worker.out < 1 else -1.0
        pace = self.pace.total(self.now) / self.warm / PACE_TAU
        left = (worker.started + self.set.warm_up - self.now) / self.set.warm_up
        share = 1 - (1 - self.set.cold_share) * left
        share = min(1.0, max(1.0, COLD_PART * self.set.fall_multiple) * share)
        worker.credit = min(worker.credit + share * pace * (self.now - worker.credit_at), self._dearest())
        worker.credit_at = self.now
        return worker.credit

    def _cost(self, worker):
        away = ELSEWHERE if worker.zone != self.set.zone else 1.0
        # One not met of late needs a handshake: its price in usual times, about QUICK of the target each.
        away += self.set.handshake / QUICK * (worker.slowness.n < MET)
        # A cold worker that has earned a piece comes first: those just proven good would leave it none.
        chance = (0.5 if self._cold(worker) else 1.0) * (1.0 + 0.05 * self.random.random())
        return worker.slowness.read(self.now) * (worker.out + 1.0) * away * chance

    def _usual(self, req):
        return self.usual[req.frontend].read(self.now)

    def _dearest(self):
        return max(usual.read(self.now) for usual in self.usual)

    def _hold(self, worker, places):
        worker.out, self.all_out = worker.out + places, self.all_out + places

    def _dispatch(self, req, worker):
        self._hold(worker, 1)
        if self._cold(worker):
            worker.credit -= self._usual(req)
        else:
            self.pace.add(self.now, self._usual(req))
        req.out[len(req.sent)] = worker
        req.sent.append(self.now)
        # Given up before the client timeout, not at it: a worker silent to the end left the answer late.
        self.orders.append(Dispatch(req.id, worker.id, max(1, req.left_at - ANSWER_MARGIN - self.now)))
        self._rank(worker)
        # What is known of a worker fades: one drawn by chance is put where it stands by now.
        self._rank(self.ready[int(len(self.ready) * self.random.random())])
        self._wake(
            self.now + int(SLOW * self.set.frontends[req.frontend].target), self._overlong, req, len(req.sent) - 1
        )

    def _overlong(self, req, dispatch, first=True):
        """A dispatch out for long: the places shrink now, not when it ends; against anything that slows many
        workers. While others answer well within the target it is likelier lost than slow, and after several
        usual times its place is free again: a jam or a common slowness shows in the usual time. Harms after
        a run of heavy reqs."""
        if dispatch not in req.out:
            return
        worker, age, usual = req.out[dispatch], self.now - req.sent[dispatch], self._usual(req)
        if first:
            self._refill(False)
            self._took(worker, age / usual)
        if age < LOST * usual or usual > QUICK * self.set.frontends[req.frontend].target:
            return self._wake(self.now + max(1, int(usual)), self._overlong, req, dispatch, False)
        req.lost.add(dispatch)
        self._hold(worker, -1)

    def _took(self, worker, times):
        """An answer, or what weighs as one, this many times the usual; remembered until every worker was met
        once: else many gatekeepers try the same slow ones over and over. Harms when one is soon well."""
        self.pace.total(self.now)
        meets = len(self.ready) * PACE_TAU / max(1.0, self.pace.n)
        worker.slowness.add(self.now, times)
        worker.slowness.tau = min(LONGEST_TAU, SLOW_TAU + meets)

    def _refill(self, quick):
        """The places of a worker, learned from all outcomes here: one worker alone answers too seldom."""
        step = 1.0 + (GROW if quick else -SHRINK) / max(FEWEST_TELL, self.all_out)
        self.fill = min(MOST_PLACES, max(FEWEST_PLACES / self.set.gatekeepers, self.fill * step))

    def _ended(self, told):
        if (req := self.reqs.get(told.req)) is None:
            return
        if (worker := req.out.pop(told.dispatch, None)) is not None:
            if told.dispatch not in req.lost:
                self._hold(worker, -1)
            self._judge(worker, req, told)
            self._rank(worker)
        if told.end not in NEVER_RAN and req.first_ran is None:
            frontend = self.set.frontends[req.frontend]
            req.first_ran = req.sent[told.dispatch]
            if frontend.repeat is Repeat.UNIQUED and worker is not None:
                req.group = (frontend.group, worker.place(frontend.group))
        if told.end is End.PASSED and self.set.settles and told.units and req.counted:
            self._settle(req, told.units)
        if told.closed:
            self._close(req)
        elif not req.closed and req.waits == OUTCOME and not req.out:
            self._resume(req, told)
        if req.closed and not req.out:
            self._forget(req)

    def _settle(self, req, units):
        """The true units are told with the answer: the difference rides on the next add."""
        for tally, bucket, _, _ in req.counted:
            if not tally.by_open:
                tally.put(bucket, units - req.units)
                self._owe(self._name(tally, bucket), units - req.units)

    def _owe(self, name, units):
        """Units known not added ride on the next add to the name."""
        self.owed[name] = self.owed.get(name, 0.0) + units

    def _judge(self, worker, req, told):
        """A worker is judged by failures in a row; how slow it is, by its answers beside the usual."""
        if told.end is End.PASSED:
            self._took(worker, min(10.0, told.took / max(self._usual(req), 1.0)))
            self.usual[req.frontend].add(self.now, told.took)
            worker.run = 0
            self.benched.discard(worker.id)
            used = self.all_out + 1 >= 0.5 * self.fill * len(self.ready)
            if used and told.took < QUICK * self.set.frontends[req.frontend].target:
                self._refill(True)
        elif told.end not in (End.CANCELLED, End.UNSENT):
            self._took(worker, FAILED_AS)
            worker.run += 1
            if told.end is End.FULL:
                self._refill(False)
            if worker.run >= BENCH_AFTER:
                self.benched.add(worker.id)
                length = min(LONGEST_BENCH, BENCH << min(6, worker.run - BENCH_AFTER))
                self._wake(self.now + length, self.benched.discard, worker.id)

    # What is heard -----------------------------------------------------------------------------------------

    def _launched(self, told):
        self.set, self.random, self.launched = told.settings, Random(told.seed), self.now
        self.workers, self.customers, self.reqs, self.line = {}, {}, {}, []
        self.ready, self.benched, self.pace = [], set(), Mean(PACE_TAU, self.now)
        self.calls, self.owed, self.silent, self.part, self.part_then, self.credit = {}, {}, 0, 1.0, 1.0, 1.0
        self.usual = [Mean(WORK_TAU, self.now, GUESS * f.target, GUESS_WEIGHT) for f in self.set.frontends]
        self.wakes, self.token, self.arrived, self.all_out, self.least = {}, 0, 0, 0, self.set.count_timeout
        self.fill, self.chance, self.drawn_until, self.woken = FIRST_PLACES / self.set.gatekeepers, 0.0, 0, 0
        if self.set.must_follow:
            self.orders.append(Follow(True))
        self._wake(self.now + TIDY, self._tidy)

    def _arrived(self, told):
        customer = self._customer(told)
        req = self.reqs[told.req] = Req()
        req.id, req.frontend, req.customer, req.units = told.req, told.frontend, customer, told.units
        req.left_at = self.now + told.left
        req.target_at = min(req.left_at, self.now + self.set.frontends[told.frontend].target)
        req.waits, req.counted, req.over, req.sent, req.out, req.lost = None, [], 0.0, [], {}, set()
        req.first_ran, req.group, req.closed, req.streams, req.promised = None, None, False, False, 0.0
        customer.reqs += 1
        req.path = self._path(req)
        self._wake(req.left_at - ANSWER_MARGIN, self._overdue, req)
        self._resume(req, None)

    def _customer(self, told):
        if (customer := self.customers.get(told.customer)) is None:
            plan = self.set.plans[told.plan]
            customer = self.customers[told.customer] = Customer()
            customer.id, customer.plan, customer.doors = told.customer, told.plan, told.doors
            customer.reqs, customer.tallies, customer.promised, customer.store_at = 0, [], 0.0, self.launched
            depth = plan.ceiling_depth if plan.ceiling_rate else float("inf")
            customer.store, refill = 0.0 if plan.ceiling_rate else depth, plan.ceiling_rate / SECOND
            if plan.rate:
                length = bucket_length(plan.rate, plan.burst)
                customer.tallies.append(tally := Tally(customer, False, length, LIMIT_BURSTS * plan.burst))
                # Not where units settled later give back what the ceiling has drawn.
                if self.set.may_count and self.set.whole and not self.set.settles:
                    tally.sure = sure_part(plan, told.doors, length, tally.limit, self.set.most_units)
                    depth += (plan.ceiling_slack - tally.sure) * (tally.sure > 0)
                    refill -= tally.sure / length
            customer.depth, customer.refill = depth / told.doors, refill / told.doors
            if plan.open:
                length = min(LONGEST_KEEP // 3, 2 * max(f.timeout for f in self.set.frontends))
                customer.tallies.append(Tally(customer, True, length, plan.open))
        customer.seen = self.now
        return customer

    def _resume(self, req, told):
        try:
            req.waits = req.path.send(told)
        except StopIteration:
            req.waits = None
        if req.waits == PLACE and not req.closed:
            self.arrived += 1
            req.order = (int(4 * req.over), self.arrived)
            insort(self.line, req, key=lambda r: r.order)
            self._wake(self._last_start(req), self._late, req)

    def _last_start(self, req):
        at = int(req.target_at - LAST_START * self._usual(req))
        return max(self.now, min(at, self._window_end(req)))

    def _late(self, req):
        """A req that can no longer make its response target leaves the line at once. The usual time moves
        while it waits, so a timer that comes too early is set again: without that a req was lost."""
        if req.closed or req.waits != PLACE:
            return
        if self.now < self._last_start(req):
            return self._wake(self._last_start(req), self._late, req)
        self.line.remove(req)
        self._resume(req, None)

    def _overdue(self, req):
        """A later try may leave less time than the counter takes: what is still undispatched is answered."""
        if not req.closed and not req.out:
            self._give_up(req)

    def _close(self, req):
        if req.closed:
            return
        req.closed = True
        if req in self.line:
            self.line.remove(req)
        if not req.path.gi_running:
            req.path.close()
        # Only what it was promised itself: a req denied at the ceiling once freed what others waited on.
        req.customer.promised -= req.promised
        if not req.out:
            self._forget(req)

    def _forget(self, req):
        if self.reqs.pop(req.id, None) is None:
            return
        req.customer.reqs -= 1
        if req.sent:
            req.counted = [c for c in req.counted if c[0].by_open]
        self._take_back(req)

    def _left(self, told):
        if told.req in self.reqs:
            self._close(self.reqs[told.req])

    def _streaming(self, told):
        if told.req in self.reqs:
            self.reqs[told.req].streams = True

    def _roster(self, told):
        """From the moment of being told, nothing new goes to a worker that drains or is gone."""
        if told.news is News.FAILED:
            if self.set.must_follow:
                self._wake(self.now + SECOND, lambda: self.orders.append(Follow(True)))
            return
        named = {machine.worker for machine in told.machines}
        for machine in told.machines:
            worker = self.workers.get(machine.worker)
            if worker is None or worker.started != machine.started:
                worker = self._new_worker(machine)
            worker.ready = machine.phase is Phase.READY
        for worker in self.workers.values():
            worker.ready = worker.ready and (told.news is News.CHANGES or worker.id in named)
        self._sort_workers()

    def _sort_workers(self):
        self.ready = [w for w in self.workers.values() if w.ready]
        for worker in self.ready:
            worker.rank = self._cost(worker)
        self.ready.sort(key=lambda w: w.rank)
        self.benched.intersection_update(w.id for w in self.ready)
        self.warm = sum(not self._cold(w) for w in self.ready)

    def _new_worker(self, machine):
        worker = self.workers[machine.worker] = Worker()
        self.benched.discard(machine.worker)
        worker.id, worker.cell, worker.zone = machine.worker, machine.cell, machine.zone
        worker.started, worker.out, worker.run, worker.credit_at = machine.started, 0, 0, self.now
        worker.credit = -self.random.random() * self._dearest()
        worker.slowness = Mean(SLOW_TAU, self.now, 1.0)
        if self._cold(worker):
            self._wake(worker.started + self.set.warm_up, self._sort_workers)
        return worker

    _nothing = staticmethod(lambda *_: None)

    def _wake(self, at, call, *args):
        self.token += 1
        self.wakes[self.token] = (call, args)
        req = args[0].id if args and isinstance(args[0], Req) else None
        self.orders.append(Wake(max(1, at - self.now), self.token, req))

    def _woke(self, told):
        call, args = self.wakes.pop(told.token, (self._nothing, ()))
        call(*args)

    def _tidy(self):
        for customer in list(self.customers.values()):
            full = self._ceiling(customer) >= customer.depth
            if full and not customer.reqs and self.now - customer.seen > IDLE:
                del self.customers[customer.id]
        self.owed = dict(list(self.owed.items())[-MOST_OWED:])
        self.workers = {w.id: w for w in self.workers.values() if w.ready or w.out}
        self._wake(self.now + TIDY, self._tidy)


HEAR = {
    Launched: Gatekeeper._launched,
    Roster: Gatekeeper._roster,
    Arrived: Gatekeeper._arrived,
    Ended: Gatekeeper._ended,
    Streaming: Gatekeeper._streaming,
    Left: Gatekeeper._left,
    Counted: Gatekeeper._counted,
    Woke: Gatekeeper._woke,
}
