"""Keeps the lease of this process: votes for candidates, and requests and renews the lease itself while it is a voter.

Decides nothing by itself: `LeaseVoter`, `LeaseCandidate` and `Replica` do.
"""

from collections.abc import Callable

from ..common.lease import LeaseCandidate, LeaseTerms, LeaseVoter
from ..common.messages import LeaseReply, LeaseRequest
from .replica import Replica
from .state import Member


class LeaseManager:
    """The lease as seen from one process. The caller reports each change to the replica."""

    def __init__(
        self, now: float, replica: Replica, fresh: bool, send: Callable[[LeaseRequest | LeaseReply, str], None]
    ) -> None:
        """`fresh`: the whole system starts for the first time; `send(message, ip)`."""
        self.replica, self.send = replica, send
        self.name = str(replica.member)
        self.voter = LeaseVoter(now, fresh)
        self.candidate = LeaseCandidate(self.name)

    def holds(self, now: float) -> bool:
        """Is the lease held here?"""
        return self.candidate.holds(now)

    def renew(self, now: float, highest_term: int) -> None:
        """Sends a request where one is due. `highest_term`: the highest term or epoch seen anywhere."""
        voters = self._voters()
        if self.replica.member not in voters or not self.replica.may_request_lease():
            return
        if self.candidate.abandons(now):
            self.voter.release(now, self.name)
        rank = voters.index(self.replica.member)
        terms = self.candidate.next_request(now, rank, self.voter.granted_until, highest_term)
        if terms is None:
            self._resend(now, voters)
            return
        if self.voter.request(now, self.name, terms.epoch):
            self.candidate.reply(now, self.name, terms, True, self._voter_names())
        for voter in voters:
            if voter.ip != self.replica.member.ip:
                self.send(LeaseRequest(self.name, terms.request_id, terms.epoch), voter.ip)

    def _resend(self, now: float, voters: tuple[Member, ...]) -> None:
        unanswered = self.candidate.resend(now, [str(voter) for voter in voters])
        for voter in voters:
            if str(voter) in unanswered and voter.ip != self.replica.member.ip:
                self.send(LeaseRequest(self.name, self.candidate.request_id, self.candidate.epoch), voter.ip)

    def on_request(self, now: float, message: LeaseRequest) -> LeaseReply:
        """A candidate asks for our vote; the reply to send."""
        granted = self.voter.request(now, message.node, message.epoch)
        return LeaseReply(self.name, message.request_id, message.epoch, granted, self.voter.epoch)

    def on_reply(self, now: float, message: LeaseReply) -> bool:
        """A voter replied; true if that made us the lease holder."""
        if not message.granted and message.highest_epoch > message.epoch:
            self.candidate.epoch_refused(message.highest_epoch)
        terms = LeaseTerms(message.request_id, message.epoch)
        return self.candidate.reply(now, message.node, terms, message.granted, self._voter_names())

    def _voters(self) -> tuple[Member, ...]:
        state = self.replica.state
        return state.voters if state is not None else ()

    def _voter_names(self) -> list[str]:
        return [str(voter) for voter in self._voters()]
