"""A duty is done under a lease that a majority granted, and stopped before it ends. Each side measures by its own
steady clock: the holder from when it asked, the granter from when it granted. Free of I/O."""

LENGTH, MARGIN, RENEW = 1.0, 0.1, 0.25       # seconds
TURN = 0.15                                 # between the first tries of two that would take it


class Granter:
    """One vote. After a start nothing is granted for a length: what was granted before it is not remembered."""

    def __init__(self, now, fresh):
        self.holder, self.until, self.epoch = None, now if fresh else now + LENGTH, 0

    def ask(self, now, node, epoch):
        if node != self.holder and now < self.until or epoch < self.epoch:
            return False
        self.holder, self.until, self.epoch = node, now + LENGTH, epoch
        return True


class Holder:
    """One that would do the duty. `rank`: its place among those that would, 0 asks first."""

    def __init__(self, node):
        self.node, self.until, self.epoch, self.asked = node, 0.0, 0, 0
        self.asked_at, self.grants, self.next_at = 0.0, [], 0.0

    def holds(self, now):
        return now < self.until

    def due(self, now, rank, others_until, epoch_seen):
        """The ask to send now, as (ask, epoch), or None. `others_until`: until when we granted it to another."""
        if now < self.next_at or not self.holds(now) and now < others_until + rank * TURN:
            return None
        if not self.holds(now):
            self.epoch = max(self.epoch, epoch_seen) + 1
        self.asked, self.asked_at, self.grants, self.next_at = self.asked + 1, now, [], now + RENEW
        return self.asked, self.epoch

    def granted(self, now, node, ask, epoch, granted, members):
        """A vote came; True if it made us the holder."""
        if ask != self.asked or epoch != self.epoch or not granted or node in self.grants or node not in members:
            return False
        self.grants.append(node)
        if len(self.grants) * 2 <= len(members):
            return False
        began = not self.holds(now)
        self.until = max(self.until, self.asked_at + LENGTH - MARGIN)
        return began and self.holds(now)

    def outrun(self, epoch):
        """Others follow a later epoch than ours: we go on above it."""
        self.epoch = max(self.epoch, epoch + 1)
