"""When discovery is asked for the list, and how long an answer is waited for. Free of I/O; times in seconds.

Guards against what many gatekeepers do together. Restarted all at once they asked for the whole list, went away after a
quarter of a second and asked ten times a second for what was turned away: discovery answered each too late, and for the
rest of the day most learned nothing (docs/incidents/fleet-growth.md). So each asks first at a moment of its own; an
answer is waited for as long as a crowded discovery may take, unless it has just been quick; and what was turned away is
asked for ever later, together no faster than a discovery that has fallen behind may catch up.
"""

from random import Random


class Pace:
    """`limits`: the `Limits` (`watch_...`); `seed`: the gatekeeper's own. `patience`: how long past the time a watch may
    wait anyway its answer is waited for."""

    def __init__(self, limits, seed):
        self.limits, self.random = limits, Random(seed)
        self.turned_away, self.patience = 0, limits.watch_crowd

    def first(self, knows):
        """How long to wait before the first call: nothing where no list is known to go on with."""
        return self.limits.watch_spread * self.random.random() if knows else 0.0

    def answered(self):
        self.turned_away, self.patience = 0, self.limits.watch_grace

    def failed(self, crowded):
        """How long to wait before the next call; `crowded`: discovery said that it has too many."""
        if not crowded:
            self.turned_away, self.patience = 0, min(2 * self.patience, self.limits.watch_crowd)
            return self.limits.watch_pause
        self.turned_away, self.patience = min(self.turned_away + 1, 16), self.limits.watch_crowd
        pause = min(self.limits.watch_longest_pause, self.limits.watch_crowd * 2 ** (self.turned_away - 1))
        # All that are turned away at one moment would come again at one moment.
        return pause * (0.5 + self.random.random())
