"""The registry: which workers and which gateways there are, as the holder of the lease last saw it. Soft state: a
follower that is behind takes a snapshot and then follows changes. Free of I/O."""

from collections import deque

import msgspec

from .messages import NO_VERSION, RegistryUpdate

REMEMBERED = 256  # keys that went


class Registry:
    """`mark` (epoch, number) grows with each change; epochs begin with a new holder of the lease. Each key has the mark of
    its last change, a key that went too, so that any follower of the epoch is told what changed since its own mark,
    whichever marks it or we have skipped; `base`: from where on that is known here."""

    def __init__(self):
        self.mark, self.base, self.workers, self.gateways = NO_VERSION, NO_VERSION, {}, {}
        self.changed, self.gone = ({}, {}), deque()

    def write(self, epoch, workers, gateways):
        """The holder of the lease writes what it sees; True if that changed anything."""
        changes = _difference(self.workers, workers), _difference(self.gateways, gateways)
        if epoch == self.mark[0] and not any(changes):
            return False
        if epoch != self.mark[0]:
            self._begin((epoch, 1))
        else:
            self.mark = (epoch, self.mark[1] + 1)
            self._note(changes)
        self.workers, self.gateways = dict(workers), dict(gateways)
        return True

    def _begin(self, mark):
        self.mark = self.base = mark
        self.changed, self.gone = ({}, {}), deque()

    def _note(self, changes):
        """Keys that changed at our mark. Of those that went the last ones are remembered: a follower from before the
        oldest takes a snapshot."""
        for kind, changed in enumerate(changes):
            for key, value in changed.items():
                self.changed[kind][key] = self.mark
                if value is None:
                    self.gone.append((self.mark, kind, key))
        while len(self.gone) > REMEMBERED:
            self.base, kind, key = self.gone.popleft()
            if self.changed[kind].get(key) == self.base:
                del self.changed[kind][key]

    def keep(self):
        """What a disk may keep of it, for a quick start: workers without times, whose clock ends with the process."""
        workers = {key: msgspec.structs.replace(worker, cold_until=0.0) for key, worker in self.workers.items()}
        return RegistryUpdate(NO_VERSION, self.mark, workers, self.gateways, 0.0)

    def since(self, mark, now):
        """What a follower at `mark` is to be told."""
        mark = tuple(mark)
        if not self.base <= mark <= self.mark:
            return RegistryUpdate(NO_VERSION, self.mark, self.workers, self.gateways, now)
        workers, gateways = (
            {key: held.get(key) for key, at in changed.items() if at > mark}
            for held, changed in zip((self.workers, self.gateways), self.changed)
        )
        return RegistryUpdate(mark, self.mark, workers, gateways, now)

    def follow(self, news, now):
        """Takes news that leads further; True if it did. Times are turned into our own clock."""
        mark, since = tuple(news.mark), tuple(news.since)
        if mark <= self.mark or since != NO_VERSION and since != self.mark:
            return False
        shift = now - news.now
        for worker in news.workers.values():
            if worker is not None and worker.cold_until:
                worker.cold_until += shift
        if since == NO_VERSION:
            self.workers, self.gateways = dict(news.workers), dict(news.gateways)
            self._begin(mark)
        else:
            self.mark = mark
            self._note((news.workers, news.gateways))
            _apply(self.workers, news.workers)
            _apply(self.gateways, news.gateways)
        return True


def _difference(before, after):
    changed = {key: value for key, value in after.items() if before.get(key) != value}
    changed.update((key, None) for key in before if key not in after)
    return changed


def _apply(held, changes):
    for key, value in changes.items():
        if value is None:
            held.pop(key, None)
        else:
            held[key] = value
