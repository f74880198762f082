"""A planner's side of the agreed order beside its vote: it answers its followers, gathers what they report, and proposes
what its advisers make of that. Free of I/O; `OrderPlanner.step(now, told) -> orders`.

All planners hear their own followers and tell each other what those report. Any of them may propose, and the register keeps
that safe; so that they do not all propose the same, the first of the list that is heard and hears a majority speaks, and
another speaks up once it has not been heard for `SILENCE`. An adviser (zones, shares, the agreed configuration) is asked for
its part of the order given what stands and what is reported; what it would change is proposed.

What followers are told is confirmed by a majority each `CONFIRM`, for all of them together. How often they ask is told to
them: with many followers they ask less often, so that a planner answers at most `ANSWERS` asks a second; past what a lease
allows it takes no more of them.

Times are whole tenths of a millisecond.
"""

from dataclasses import dataclass, field

from .follower import ASKS_IN_LEASE, Standing
from .register import Answer, Beat, Confirm, Decided, Propose, Register, Send, Store, Unfit

SECOND = 10_000
CONFIRM = SECOND // 4
TELL = SECOND // 4  # between two words of what followers report, to the other planners
ADVISE = SECOND // 4
SILENCE = SECOND  # after which a planner that was to speak is taken for gone
FRESH = 3 * SECOND  # a report older than that is no report
ANSWERS = 500  # asks answered a second
OWN = "planner "  # what a planner tells of itself stands under this and its number
MOST_REPORT, IN_ONE = 4_096, 50  # bytes of one follower's report; reports in one word to another planner


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    me: int
    count: int
    life: int
    cluster: str
    lease: int


# What it is told, beside the register's `Heard` and `Stored`


@dataclass(frozen=True, slots=True)
class Followed:
    """A follower asks. `key`: where the answer goes."""

    key: int
    follower: str
    number: int
    have: tuple[str, int]
    report: dict


@dataclass(frozen=True, slots=True)
class Summary:
    """What another planner's followers report: name -> (tenths of a millisecond ago, report)."""

    planner: int
    reports: dict


@dataclass(frozen=True, slots=True)
class Change:
    """Something of this planner's own is to be proposed, at once (an operator's change)."""

    key: int
    change: object


# What it orders, beside the register's `Send` and `Store`


@dataclass(frozen=True, slots=True)
class Reply:
    key: int
    standing: Standing


@dataclass(frozen=True, slots=True)
class Tell:
    """A summary to another planner."""

    planner: int
    reports: dict


@dataclass(frozen=True, slots=True)
class Changed:
    """What became of a `Change`: as the register's `Answer`."""

    key: int
    order: object
    unfit: object


@dataclass(frozen=True, slots=True)
class Agreed:
    """Another order stands than was known before."""

    order: object


@dataclass(frozen=True, slots=True)
class Note:
    """Something an operator wants to know, as an adviser words it."""

    event: str
    fields: dict


@dataclass(slots=True)
class Known:
    at: int
    report: dict


@dataclass(slots=True)
class Peer:
    at: int = -1 << 60
    reports: dict = field(default_factory=dict)


class OrderPlanner:
    """`advisers`: name of a part -> an object with `advise(now, reports, order) -> value of the part` (the same object where
    nothing is to change); `reports`: follower -> its report, fresh ones alone. It may have `own(now)`, what this planner
    itself reports; `fits(now, before, after, reports)`, asked again at each try of what it advised; `cut(part, follower)`,
    what of its part is sent to a follower; `reread(operator)`; and `notes`, a list of (event, fields) for the operator."""

    def __init__(self, settings, vote=None, advisers=None):
        self.set, self.advisers = settings, advisers or {}
        self.register = Register(settings.me, settings.count, settings.life, vote, settings.cluster)
        self.followers, self.peers = {}, {n: Peer() for n in range(settings.count) if n != settings.me}
        self.confirm_at = self.tell_at = self.advise_at = 0
        self.order, self.confirmed, self.started, self.due = None, None, None, 0
        self.proposed, self.keys, self.given = set(), 0, {}

    def step(self, now, told):
        self.now, self.orders = now, []
        if self.started is None:
            self.started = now
        kind = type(told)
        if kind is Followed:
            self._followed(told)
        elif kind is Summary:
            peer = self.peers[told.planner]
            peer.at = now
            peer.reports.update({name: Known(now - age, report) for name, (age, report) in told.reports.items()})
        elif kind is Change:
            self.keys += 1
            self.given[self.keys] = told.key
            self._register(Propose(self.keys, told.change))
        elif kind is not Beat:
            self._register(told)
        self._beat()
        return self.orders

    def _register(self, told):
        for order in self.register.step(self.now, told):
            kind = type(order)
            if kind in (Send, Store):
                self.orders.append(order)
            elif kind is Decided:
                if self.order is None or order.order.version > self.order.version:
                    self.order = order.order
                    self.orders.append(Agreed(order.order))
                self.confirmed = order.at
            elif kind is Answer:
                self.proposed.discard(order.key)
                if order.key in self.given:
                    self.orders.append(Changed(self.given.pop(order.key), order.order, order.unfit))

    def _beat(self):
        now = self.now
        if now >= self.confirm_at:
            self.confirm_at = now + CONFIRM
            self._register(Confirm())
        elif now >= self.register.due:
            self._register(Beat())
        if now >= self.tell_at:
            self.tell_at = now + TELL
            own = {name: adviser.own(now) for name, adviser in self.advisers.items() if hasattr(adviser, "own")}
            if own:
                # A planner's own word goes the way of a follower's.
                self.followers[f"{OWN}{self.set.me}"] = Known(now, own)
            # As fresh as it is: a report goes over at most one planner, and its age with it.
            told = {
                name: (now - known.at, known.report)
                for name, known in self.followers.items()
                if now - known.at <= FRESH
            }
            names = list(told)
            for some in (names[at : at + IN_ONE] for at in range(0, max(1, len(names)), IN_ONE)):
                self.orders += [Tell(planner, {name: told[name] for name in some}) for planner in self.peers]
        if now >= self.advise_at:
            self.advise_at = now + ADVISE
            self._advise()
        for known in (self.followers, *(peer.reports for peer in self.peers.values())):
            for name in [name for name, told in known.items() if now - told.at > 2 * max(self.set.lease, FRESH)]:
                del known[name]
        self.due = max(now + 1, min(self.confirm_at, self.tell_at, self.advise_at, self.register.due))

    # Followers ---------------------------------------------------------------------------------------------

    def beat(self):
        """How long a follower waits between two asks, so that all together ask no more than is answered."""
        return min(self.set.lease // ASKS_IN_LEASE, max(SECOND // 4, len(self.followers) * SECOND // ANSWERS))

    def _followed(self, told):
        full = len(self.followers) >= ANSWERS * self.set.lease // ASKS_IN_LEASE // SECOND
        if told.follower in self.followers or not full:
            self.followers[told.follower] = Known(self.now, told.report)
            order = self.order
        else:
            order = None
        cluster, version = self.register.cluster, order.version if order else 0
        age = self.now - self.confirmed if order and self.confirmed is not None else None
        same = told.have == (cluster, version)
        self.orders.append(
            Reply(
                told.key,
                Standing(
                    told.number,
                    cluster,
                    version,
                    age,
                    self.beat(),
                    None if same else order and self._cut(order, told.follower),
                ),
            )
        )

    def _cut(self, order, follower):
        """Parts of which a follower needs its own alone are sent to it so."""
        for name, adviser in self.advisers.items():
            if hasattr(adviser, "cut") and order.parts.get(name) is not None:
                order = order.with_part(name, adviser.cut(order.parts[name], follower))
        return order

    # What is proposed --------------------------------------------------------------------------------------

    def heard(self, planner):
        return planner == self.set.me or self.now - self.peers[planner].at <= SILENCE

    def speaks(self):
        """Whether this one proposes what the reports call for."""
        if self.confirmed is None or self.now - self.confirmed > SILENCE:
            return False
        # Just started, it has not heard who else is there.
        return self.now - self.started > SILENCE and not any(self.heard(n) for n in range(self.set.me))

    def reports(self):
        """What all followers report, each by its freshest word."""
        fresh = {}
        for known in (self.followers, *(peer.reports for peer in self.peers.values())):
            for name, told in known.items():
                if self.now - told.at <= FRESH and (name not in fresh or fresh[name].at < told.at):
                    fresh[name] = told
        return {name: fresh[name].report for name in sorted(fresh)}

    def _advise(self):
        if not self.advisers or self.order is None or self.proposed or not self.speaks():
            return
        reports, order = self.reports(), self.order
        wished = {}
        for name, adviser in self.advisers.items():
            part = adviser.advise(self.now, reports, order)
            notes = getattr(adviser, "notes", None)
            while notes:
                self.orders.append(Note(*notes.pop(0)))
            if part is not order.parts.get(name):
                wished[name] = part
        if not wished:
            return

        def change(stands, seen=order, wished=wished):
            # What the advice was given on stands no more: it is given anew on what does.
            if stands.version != seen.version:
                raise Unfit("another order stands")
            for name, part in wished.items():
                fits = getattr(self.advisers[name], "fits", None)
                if fits is None or fits(self.now, stands.parts.get(name), part, self.reports()):
                    stands = stands.with_part(name, part)
            return stands

        self.keys += 1
        self.proposed.add(self.keys)
        self._register(Propose(self.keys, change))
