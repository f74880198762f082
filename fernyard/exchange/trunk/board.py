"""The board: which workers and which switchboards there are, as the holder of the lease last saw it. Soft state: a
follower that is behind takes a snapshot and then follows changes. Free of I/O."""

from collections import deque

import msgspec

from .messages import NONE, BoardNews

REMEMBERED = 64         # changes that followers may be behind by


class Board:
    """`mark` (epoch, number) grows with each change; epochs begin with a new holder of the lease."""

    def __init__(self):
        self.mark, self.workers, self.desks = NONE, {}, {}
        self.changes = deque(maxlen=REMEMBERED)

    def write(self, epoch, workers, desks):
        """The holder of the lease writes what it sees; True if that changed anything."""
        changed_workers = _difference(self.workers, workers)
        changed_desks = _difference(self.desks, desks)
        if epoch == self.mark[0] and not changed_workers and not changed_desks:
            return False
        before = self.mark
        if epoch != self.mark[0]:
            self.changes.clear()
            self.mark = (epoch, 1)
        else:
            self.mark = (epoch, self.mark[1] + 1)
            self.changes.append((before, self.mark, changed_workers, changed_desks))
        self.workers, self.desks = dict(workers), dict(desks)
        return True

    def keep(self):
        """What a disk may keep of it, for a quick start: workers without times, whose clock ends with the process."""
        workers = {key: msgspec.structs.replace(worker, cold_until=0.0) for key, worker in self.workers.items()}
        return BoardNews(NONE, self.mark, workers, self.desks, 0.0)

    def since(self, mark, now):
        """What a follower at `mark` is to be told."""
        mark = tuple(mark)
        if mark == self.mark:
            return BoardNews(mark, mark, {}, {}, now)
        workers, desks, found = {}, {}, False
        for before, _, changed_workers, changed_desks in self.changes:
            found = found or before == mark
            if found:
                workers.update(changed_workers)
                desks.update(changed_desks)
        if not found:
            return BoardNews(NONE, self.mark, self.workers, self.desks, now)
        return BoardNews(mark, self.mark, workers, desks, now)

    def follow(self, news, now):
        """Takes news that leads further; True if it did. Times are turned into our own clock."""
        mark, since = tuple(news.mark), tuple(news.since)
        if mark <= self.mark or since != NONE and since != self.mark:
            return False
        shift = now - news.now
        for worker in news.workers.values():
            if worker is not None and worker.cold_until:
                worker.cold_until += shift
        if since == NONE:
            self.workers, self.desks = dict(news.workers), dict(news.desks)
            self.changes.clear()
        else:
            self.changes.append((self.mark, mark, news.workers, news.desks))
            _apply(self.workers, news.workers)
            _apply(self.desks, news.desks)
        self.mark = mark
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
