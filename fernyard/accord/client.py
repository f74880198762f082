"""Carries a follower's asks to planners and their answers back, over one WebSocket each."""

from ..plan.link import Link, session
from .follower import Answered, Standing, Unheard
from .wire import PROTOCOL, BadMessage, Follow, read, write


class FollowerClient:
    """`report` is told `Answered` or `Unheard`. `connect` in seconds. A planner that speaks version 1 alone refuses the
    connection: it is one that is not heard."""

    def __init__(self, name, connect, report):
        self.name, self.connect, self.report = name, connect, report
        self.session, self.links = None, {}

    def start(self):
        self.session = session(self.connect)

    def follow(self, told):
        """Sends a `follower.Follow`; one planner at a time is asked, so connections to others are closed."""
        for planner in [planner for planner in self.links if planner != told.planner]:
            self.links.pop(planner).close()
        link = self.links.get(told.planner)
        if link is None:
            link = self.links[told.planner] = Link(
                self.session,
                self.connect,
                told.planner,
                PROTOCOL,
                lambda data: self._hear(told.planner, data),
                lambda: self._ended(told.planner, link),
            )
        link.send(write(Follow(self.name, told.number, told.have, told.report)))

    def _hear(self, planner, data):
        message = read(data)
        if type(message) is not Standing:
            raise BadMessage("no answer to an ask")
        self.report(Answered(planner, message))

    def _ended(self, planner, link):
        if self.links.get(planner) is link:
            del self.links[planner]
            self.report(Unheard(planner))

    async def close(self):
        for link in list(self.links.values()):
            link.close()
        self.links.clear()
        if self.session is not None:
            await self.session.close()
