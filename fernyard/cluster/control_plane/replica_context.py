"""What the parts of one replica share: its settings and identity, the time of the current step, and its outbox."""

from collections import deque

import attrs

from .commands import Command, SendMessage
from .messages import ReplicaMessage
from .state import Member


@attrs.frozen
class ReplicaSettings:
    """`votes`: this machine counts and has a disk; `seeds`: ips; `faults`: machines that may be lost at once."""

    node: str
    ip: str
    votes: bool
    seeds: tuple[str, ...]
    faults: int


@attrs.define
class ReplicaContext:
    """Shared by the parts of one replica.

    `incarnation`: a number that no other run of any process has; `now`: the time of the current step, in seconds of the
    machine's steady clock; `commands`: what the current step returns; `local_messages`: messages to ourselves, which are
    handled within the same step.
    """

    settings: ReplicaSettings
    incarnation: int
    member: Member
    now: float
    commands: list[Command] = attrs.Factory(list)
    local_messages: deque[ReplicaMessage] = attrs.Factory(deque)

    def begin_step(self, now: float) -> None:
        """Starts a step with no commands."""
        self.now, self.commands = now, []

    def execute(self, command: Command) -> None:
        """Adds a command to what the current step returns."""
        self.commands.append(command)

    def send(self, ip: str, message: ReplicaMessage) -> None:
        """Sends a message to the replica at `ip`, be it ourselves."""
        if ip == self.settings.ip:
            self.local_messages.append(message)
        else:
            self.execute(SendMessage(ip, message))
