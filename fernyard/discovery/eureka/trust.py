"""What of a Eureka registry's word is believed, and what is asked of it next. Free of I/O.

`Trust.step(now, told)` with `Full` or `Delta` (an answer) or `Failed`; it returns what changed for the gatekeeper, as
`Change`s, and sets `ask` to "full" or "delta". Times are seconds on any steady clock.

Believed at once: an instance that is to take nothing new (OUT_OF_SERVICE), one that is DOWN or gone alone. Not
believed: a word older than one already had on an instance, so that a list from before an outage never brings a drained
worker back; and many instances DOWN or gone at once, which is the registry's trouble far oftener than the workers'.
What the gatekeeper itself sees of a worker decides then, as always.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ...interface import Phase
from .listing import Listing, hashcode

PHASES = {
    "UP": Phase.READY,
    "OUT_OF_SERVICE": Phase.DRAINING,
    "DOWN": Phase.DRAINING,
    "STARTING": Phase.DRAINING,
    "UNKNOWN": Phase.DRAINING,
}
DOUBTED = ("DOWN", "UNKNOWN", "GONE")  # what a registry in trouble says of workers that are well


@dataclass(frozen=True, slots=True)
class TrustSettings:
    """`apps`: names whose instances are workers (empty: all); `keep`: how long the roster stands while nothing is heard;
    `mass_share`: of the ready ones, DOWN or gone within `mass_window`, beyond which that is doubted, for `mass_hold` at
    most; `confirm`: how long an instance without stamps has to be UP before it comes back; `remembered`: instances
    gone of which the last word is kept."""

    apps: tuple[str, ...] = ()
    keep: float = 3600.0
    mass_share: float = 0.34
    mass_least: int = 2
    mass_window: float = 5.0
    mass_hold: float = 120.0
    confirm: float = 10.0
    remembered: int = 10_000


@dataclass(frozen=True, slots=True)
class Full:
    listing: Listing


@dataclass(frozen=True, slots=True)
class Delta:
    listing: Listing


@dataclass(frozen=True, slots=True)
class Failed:
    why: str = ""


@dataclass(frozen=True, slots=True)
class Change:
    """An instance's phase, as the gatekeeper is to take it from now on."""

    instance: object
    phase: Phase


class Trust:
    def __init__(self, settings):
        self.set, self.ask = settings, "full"
        self.raw = {}  # key -> instance, as the registry has them: for its hashcode
        self.taken = {}  # key -> (instance, phase), as the gatekeeper has them
        self.last = OrderedDict()  # key -> stamp of the last word believed, of those gone too
        self.fell = {}  # key -> when it fell from ready by a doubtful word
        self.held = {}  # key -> since when its fall is doubted
        self.rising = {}  # key -> since when it is UP again without a stamp to tell
        self.heard = None
        self.notes = []  # (event, figure): for the log, each once a trouble
        self.given_up = self.doubting = False
        self.mismatched = 0

    def step(self, now, told):
        self.now, self.notes = now, []
        if self.heard is None:
            self.heard = now
        if isinstance(told, Failed):
            return self._failed()
        self.heard, self.given_up = now, False
        if isinstance(told, Full):
            self.raw = {instance.key: instance for instance in told.listing.instances}
        else:
            for instance in sorted(told.listing.instances, key=lambda i: i.stamp):
                if instance.action == "DELETED":
                    self.raw.pop(instance.key, None)
                else:
                    self.raw[instance.key] = instance
        right = hashcode(i.reported or i.status for i in self.raw.values()) == told.listing.hashcode
        if isinstance(told, Delta) and not right:
            # Changes were lost between two deltas: what it says is not applied, the whole list is asked for.
            self.mismatched += 1
            self.ask = "full"
            return self._changes(only_less=True)
        self.ask = "delta"
        return self._changes()

    def _failed(self):
        """Nothing heard: the roster stands for its time. The whole list is asked for next: deltas were missed."""
        self.ask = "full"
        if self.now - self.heard <= self.set.keep or self.given_up:
            return ()
        self.given_up = True
        self.notes.append(("registry_given_up", len(self.taken)))
        gone = [Change(instance, Phase.GONE) for instance, _ in self.taken.values()]
        self.taken.clear()
        return tuple(gone)

    def _changes(self, only_less=False):
        """What the registry now says against what the gatekeeper has. `only_less`: its word is in doubt, so it is
        followed only where it takes workers out of service."""
        wanted = {}
        for key, instance in self.raw.items():
            if not self.set.apps or instance.app in self.set.apps:
                wanted[key] = (instance, PHASES[instance.status])
        falls, changes, stale = [], [], False
        for key, (instance, phase) in wanted.items():
            before = self.taken.get(key)
            if instance.stamp < self.last.get(key, 0):
                stale = True  # older than what is known of it
                continue
            if before is not None and (before[1], before[0].address, before[0].started) == (
                phase,
                instance.address,
                instance.started,
            ):
                for known in self.held, self.rising, self.fell:
                    known.pop(key, None)
                self._believe(instance)
                continue
            if phase is Phase.READY:
                if not only_less and self._may_rise(key, instance, before):
                    changes.append(Change(instance, phase))
            elif instance.status in DOUBTED and before is not None and before[1] is Phase.READY:
                falls.append((key, instance, phase))
            else:
                changes.append(Change(instance, phase))
        if not only_less and not stale:
            # A list from before does not know those that came since: missing there, they are not gone.
            for key, (instance, phase) in self.taken.items():
                if key in wanted:
                    continue
                if phase is Phase.READY:
                    falls.append((key, instance, Phase.GONE))
                else:
                    changes.append(Change(instance, Phase.GONE))
        changes += self._doubt(falls)
        for change in changes:
            self._take(change)
        return tuple(changes)

    def _may_rise(self, key, instance, before):
        """A worker out of service comes back on a newer word only; without stamps, or where it was only missing from a
        list, once it has been UP for a while."""
        known = self.last.get(key)
        if known is None or instance.stamp > known or before is not None and before[1] is Phase.READY:
            self.rising.pop(key, None)
            return True
        if instance.stamp and before is not None:
            return False
        since = self.rising.setdefault(key, self.now)
        return self.now - since >= self.set.confirm

    def _doubt(self, falls):
        """Of those that fell by a doubtful word: all, or none where too many fell at once."""
        for key in [k for k, at in self.fell.items() if self.now - at > self.set.mass_window and k not in self.held]:
            del self.fell[key]
        for key, _, _ in falls:
            self.fell.setdefault(key, self.now)
        ready = sum(phase is Phase.READY for _, phase in self.taken.values())
        falling = {key for key, _, _ in falls}
        for key in [key for key in self.held if key not in falling]:
            del self.held[key]  # up again, or out of service by a word of its own
        # Those that fell a moment ago and were believed count too: a registry loses them one after another.
        recent = sum(self.now - at <= self.set.mass_window for at in self.fell.values())
        many = max(self.set.mass_least, self.set.mass_share * (ready + recent - len(falls)))
        last = len(falls) > 1 and len(falls) == ready  # nobody would be left
        if falls and (recent > many or last or self.doubting):
            believed = []
            for key, instance, phase in falls:
                since = self.held.setdefault(key, self.now)
                if self.now - since > self.set.mass_hold:
                    believed.append(Change(instance, phase))
            if not self.doubting:
                self.notes.append(("registry_doubted", len(falls)))
            self.doubting = True
            return believed
        if self.doubting:
            self.notes.append(("registry_believed", len(falls)))
        self.doubting = False
        return [Change(instance, phase) for _, instance, phase in falls]

    def _take(self, change):
        key = change.instance.key
        if change.phase is Phase.GONE:
            self.taken.pop(key, None)
        else:
            self.taken[key] = (change.instance, change.phase)
        self.held.pop(key, None)
        self.rising.pop(key, None)
        self._believe(change.instance)

    def _believe(self, instance):
        if instance.stamp >= self.last.get(instance.key, -1):
            self.last[instance.key] = instance.stamp
            self.last.move_to_end(instance.key)
        while len(self.last) > self.set.remembered:
            self.last.popitem(last=False)
