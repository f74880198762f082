"""Which control planes a gateway reports to, and how it finds them again when none of those answers. Free of I/O; times are seconds.

What is known of control planes is kept apart by how far it is trusted, and only grows out of date, never to nothing:

- the last list from one that was in touch with a majority: all of it are reported to;
- what others reported, which may know themselves alone;
- the seeds of the settings file;
- earlier lists.

While nobody in touch with a majority answers, some of the latter three are tried as well, a few at a time.
"""

from collections.abc import Iterable, Sequence
from random import Random

from ..common import rendezvous

WATCHERS = 5  # control planes that watch one gateway
LOST_AFTER = 1.5  # without an answer from one in touch with a majority
PROBES = 4  # addresses tried at once
MIN_PROBE_PAUSE, MAX_PROBE_PAUSE = 0.3, 1.2  # between two tries, randomized, doubling
MAX_KNOWN = 12  # addresses of each kind


class ControlPlaneDirectory:
    """Addresses (ips) of control planes, as one gateway knows them."""

    def __init__(self, now: float, node: str, seeds: Iterable[str], random: Random) -> None:
        """`node`: the gateway's own name."""
        self.node, self.random = node, random
        self.confirmed: tuple[str, ...] = ()
        self.reported: tuple[str, ...] = ()
        self.seeds: tuple[str, ...] = _newest(seeds)
        self.former: tuple[str, ...] = ()
        self.confirmed_at = now
        self._probe_pause, self._next_probe_at, self._next_probe = MIN_PROBE_PAUSE, now, 0

    def add_seeds(self, ips: Sequence[str]) -> None:
        """The settings file names these now; earlier ones are kept behind them."""
        self.seeds = _newest((*ips, *self.seeds))

    def replied(self, now: float, sender: str, ips: Sequence[str], in_touch: bool) -> None:
        """The control plane at `sender` answered and named `ips`. `in_touch`: it was in touch with a majority of late; the list
        of any other adds to what is known and replaces nothing."""
        if not in_touch:
            self.reported = _newest((sender, *ips, *self.reported))
            return
        named = tuple(dict.fromkeys((sender, *ips)))
        self.former = _newest((*(ip for ip in self.confirmed if ip not in named), *self.former))
        self.confirmed, self.reported, self.confirmed_at = named, (), now
        self._probe_pause, self._next_probe_at = MIN_PROBE_PAUSE, now

    def contains(self, ip: str) -> bool:
        """Is that a control plane, as far as known?"""
        return ip in self.confirmed or ip in self.reported or ip in self.seeds

    def is_lost(self, now: float) -> bool:
        """Has nobody in touch with a majority answered of late?"""
        return now - self.confirmed_at > LOST_AFTER

    def recipients(self, now: float) -> list[str]:
        """Where to send a heartbeat now."""
        trusted = self.confirmed or dict.fromkeys((*self.reported, *self.seeds))
        watchers = rendezvous.top(self.node, trusted, WATCHERS)
        if not self.is_lost(now) or now < self._next_probe_at:
            return watchers
        return watchers + self._probe(now, watchers)

    def _probe(self, now: float, watchers: Sequence[str]) -> list[str]:
        """The next few of the other addresses, each in its turn."""
        known = dict.fromkeys((*self.confirmed, *self.reported, *self.seeds, *self.former))
        others = [ip for ip in known if ip not in watchers]
        self._next_probe_at = now + self._probe_pause * (0.75 + 0.5 * self.random.random())
        self._probe_pause = min(MAX_PROBE_PAUSE, 2 * self._probe_pause)
        count = min(PROBES, len(others))
        first, self._next_probe = self._next_probe, self._next_probe + count
        return [others[(first + index) % len(others)] for index in range(count)]


def _newest(ips: Iterable[str]) -> tuple[str, ...]:
    """Each address once, in their order, `MAX_KNOWN` at most."""
    return tuple(dict.fromkeys(ips))[:MAX_KNOWN]
