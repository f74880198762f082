"""Commands: what `RequestRouter.step` returns for the process to execute, in order. Times are seconds."""

import msgspec

from ...workers import Outcome
from ..common.messages import Count


class ForwardRequest(msgspec.Struct, frozen=True):
    """Forward a request to a worker. `attempt` numbers its attempts; `tenant`: a name for the worker, or None; `timeout`:
    until the attempt is given up."""

    number: int
    attempt: int
    worker: str
    address: str
    tenant: str | None
    timeout: float


class CancelAttempt(msgspec.Struct, frozen=True):
    """Give an attempt up and end its connection, as nobody waits for it. `only_unsent`: only while no byte of it was written."""

    number: int
    attempt: int
    only_unsent: bool


class AnswerRequest(msgspec.Struct, frozen=True):
    """Answer a request ourselves. `retry_after`: 0 for none."""

    number: int
    status: int
    retry_after: float = 0.0


class RelayAnswer(msgspec.Struct, frozen=True):
    """Answer a request with what its worker answered."""

    number: int
    outcome: Outcome


class SendCount(msgspec.Struct, frozen=True):
    """Send an add to the counter gateway at `ip`; None is this process."""

    ip: str | None
    count: Count


Command = ForwardRequest | CancelAttempt | AnswerRequest | RelayAnswer | SendCount
