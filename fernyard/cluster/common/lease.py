"""A duty is done under a lease that a majority granted, and stopped before it ends. Each side measures by its own
steady clock: the holder from when it asked, the granter from when it granted. Free of I/O."""

LENGTH, MARGIN, RENEW = 1.0, 0.1, 0.25  # seconds
TURN = 0.3  # between the first tries of two that would take it


class LeaseVoter:
    """One vote. After a start nothing is granted for a length: what was granted before it is not remembered."""

    def __init__(self, now, fresh):
        self.holder, self.until, self.epoch = None, now if fresh else now + LENGTH, 0

    def ask(self, now, node, epoch):
        if node != self.holder and now < self.until or epoch < self.epoch:
            return False
        self.holder, self.until, self.epoch = node, now + LENGTH, epoch
        return True

    def release(self, now, node):
        """That node, if it holds the vote, gives it back."""
        if self.holder == node:
            self.until = min(self.until, now)


class LeaseCandidate:
    """One that would do the duty. Those that would take turns by rank, counted from when their votes are free; else all
    ask at once, each votes for itself, and they do so again together whenever the votes end (seen on the bench: no list
    for a whole day). One whose asks nobody answers lets ever longer pauses, in which the others' votes are free: its
    answers alone may be cut off."""

    def __init__(self, node):
        self.node, self.until, self.epoch, self.asked = node, 0.0, 0, 0
        self.asked_at, self.grants, self.next_at, self.failed, self.refused = 0.0, [], 0.0, 0, False
        self.outbid = 0

    def holds(self, now):
        return now < self.until

    def gives_up(self, now):
        """Has the last ask failed, by refusals, and is it time to ask again? Late grants of it count no more, so that our
        own vote may be given back: kept until its end, it and those of others that failed lock each other out."""
        if not self.refused or self.holds(now) or now < self.next_at:
            return False
        self.asked, self.grants, self.refused = self.asked + 1, [], False
        return True

    def due(self, now, rank, free_at, epoch_seen):
        """The ask to send now, as (ask, epoch), or None. `rank`: our place among those that would do the duty; `free_at`:
        until when our own vote is given to whomever."""
        if now < self.next_at:
            return None
        if self.holds(now):
            self.next_at = now + RENEW
            if self.outbid > self.epoch:
                self.epoch = max(self.outbid, epoch_seen) + 1
        else:
            if now < free_at + rank * TURN:
                return None
            self.epoch, self.failed = max(self.epoch, epoch_seen, self.outbid) + 1, self.failed + 1
            self.next_at = now + LENGTH + 2 * TURN * self.failed
        self.asked, self.asked_at, self.grants, self.refused = self.asked + 1, now, [], False
        return self.asked, self.epoch

    def refused_for(self, epoch):
        """A member has seen that higher epoch, and grants nothing below it: the next ask goes above it. Without this, one that
        asked in vain while another held the lease refused that holder's renewals from then on."""
        self.outbid = max(self.outbid, epoch)

    def granted(self, now, node, ask, epoch, granted, members):
        """A vote came; True if it made us the holder."""
        if ask != self.asked or epoch != self.epoch or node in self.grants or node not in members:
            return False
        if not granted:
            self.next_at = min(self.next_at, now + RENEW)  # others hear us and we them: soon again
            self.refused = True
            return False
        self.grants.append(node)
        if len(self.grants) * 2 <= len(members):
            return False
        began = not self.holds(now)
        self.until, self.failed, self.next_at = (
            max(self.until, self.asked_at + LENGTH - MARGIN),
            0,
            self.asked_at + RENEW,
        )
        return began and self.holds(now)
