"""A lease that a majority of voters grants to one process at a time, which then does a singleton role.

Each side measures by its own steady clock: the candidate from when it sent its request, the voter from when it granted it. So
the candidate's lease always ends before the votes for it do. Free of I/O; times are seconds.
"""

from collections.abc import Collection
from typing import NamedTuple

LEASE_DURATION = 1.0  # for which a vote is bound
SAFETY_MARGIN = 0.1  # by which the candidate stops before the votes for it end
RENEW_INTERVAL = 0.25
RANK_STAGGER = 0.3  # between the first requests of two candidates
RESEND_INTERVAL = 0.15  # until voters that did not answer are asked again
RESENT_WITHIN = (
    0.45  # of a request: votes have to be free again before a candidate that hears no answers makes its next one
)


class LeaseTerms(NamedTuple):
    """What a candidate asks its voters for: the number of the request, and the epoch under which it would hold the lease."""

    request_id: int
    epoch: int


class LeaseVoter:
    """One vote. After a restart nothing is granted for one duration: what was granted before it is not remembered."""

    def __init__(self, now: float, fresh: bool) -> None:
        """`fresh`: the whole system starts for the first time, so that no earlier grant can exist."""
        self.granted_to: str | None = None
        self.granted_until = now if fresh else now + LEASE_DURATION
        self.epoch = 0

    def request(self, now: float, node: str, epoch: int) -> bool:
        """Is the vote granted to that node, under that epoch?"""
        if (node != self.granted_to and now < self.granted_until) or epoch < self.epoch:
            return False
        self.granted_to, self.granted_until, self.epoch = node, now + LEASE_DURATION, epoch
        return True

    def release(self, now: float, node: str) -> None:
        """That node, if the vote is granted to it, gives it back."""
        if self.granted_to == node:
            self.granted_until = min(self.granted_until, now)


class LeaseCandidate:
    """A process that would hold the lease.

    Candidates take turns by rank, counted from when their own votes are free. Otherwise all request at once, each votes for
    itself, and they do so again together whenever the votes end (seen on the bench: no endpoint list for a whole day). One
    whose requests nobody answers backs off ever longer, so that the others' votes become free: its answers alone may be lost.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self.held_until = 0.0
        self.epoch = 0
        self.request_id = 0
        self.requested_at = 0.0
        self.grants: list[str] = []
        self.next_request_at = 0.0
        self.failed_requests = 0
        self.refused = False
        self.answered: list[str] = []
        self.sent_at = 0.0
        self.highest_epoch_seen = 0

    def holds(self, now: float) -> bool:
        """Is the lease held here now?"""
        return now < self.held_until

    def abandons(self, now: float) -> bool:
        """Has the last request failed, by refusals, and is the next one due?

        Late grants of it count no more, so that our own vote may be given back: kept until its end, it and those of other
        candidates that failed lock each other out.
        """
        if not self.refused or self.holds(now) or now < self.next_request_at:
            return False
        self.request_id += 1
        self.grants, self.refused = [], False
        return True

    def next_request(self, now: float, rank: int, vote_free_at: float, epoch_seen: int) -> LeaseTerms | None:
        """The request to send now, or None. `rank`: our position among the candidates; `vote_free_at`: until when our own
        vote is granted; `epoch_seen`: the highest epoch seen elsewhere."""
        if now < self.next_request_at:
            return None
        if self.holds(now):
            self.next_request_at = now + RENEW_INTERVAL
            if self.highest_epoch_seen > self.epoch:
                self.epoch = max(self.highest_epoch_seen, epoch_seen) + 1
        else:
            if now < vote_free_at + rank * RANK_STAGGER:
                return None
            self.epoch = max(self.epoch, epoch_seen, self.highest_epoch_seen) + 1
            self.failed_requests += 1
            self.next_request_at = now + LEASE_DURATION + 2 * RANK_STAGGER * self.failed_requests
        self.request_id += 1
        self.requested_at, self.grants, self.refused = now, [], False
        self.answered, self.sent_at = [], now
        return LeaseTerms(self.request_id, self.epoch)

    def resend(self, now: float, voters: Collection[str]) -> list[str]:
        """The voters to which the last request is sent again: it, or the answer, may be lost, and our own vote is bound meanwhile. The
        lease counts from the first time it was sent."""
        is_open = now - self.requested_at < RESENT_WITHIN and not self.refused
        if self.request_id == 0 or self.holds(now) or not is_open or now - self.sent_at < RESEND_INTERVAL:
            return []
        self.sent_at = now
        return [voter for voter in voters if voter not in self.answered]

    def epoch_refused(self, epoch: int) -> None:
        """A voter has seen that higher epoch and grants nothing below it: the next request goes above it.

        Without this, a candidate that failed while another held the lease refused that holder's renewals from then on.
        """
        self.highest_epoch_seen = max(self.highest_epoch_seen, epoch)

    def reply(self, now: float, voter: str, terms: LeaseTerms, granted: bool, voters: Collection[str]) -> bool:
        """A voter replied to a request; true if the reply made us the lease holder."""
        if terms != (self.request_id, self.epoch) or voter in self.grants or voter not in voters:
            return False
        self.answered.append(voter)
        if not granted:
            self.next_request_at = min(
                self.next_request_at, now + RENEW_INTERVAL
            )  # the link works both ways: soon again
            self.refused = True
            return False
        self.grants.append(voter)
        if len(self.grants) * 2 <= len(voters):
            return False
        began = not self.holds(now)
        self.held_until = max(self.held_until, self.requested_at + LEASE_DURATION - SAFETY_MARGIN)
        self.failed_requests = 0
        self.next_request_at = self.requested_at + RENEW_INTERVAL
        return began and self.holds(now)
