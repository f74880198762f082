"""Carries a forwarder's asks to planners over one WebSocket each: an ask is sent once, its outcome reported once."""

from .forwarder import Heard, Lost
from .link import Link, session
from .wire import PROTOCOL, read_grant, write_ask

MOST_OUT = 64  # asks of which the outcome is still told; the forwarder has given up older ones


class PlannerClient:
    """`report` is told `Heard` or `Lost` for each ask; one that a planner never answers is given up by the forwarder.
    `connect` in seconds."""

    def __init__(self, name, connect, report):
        self.name, self.connect, self.report = name, connect, report
        self.session, self.links = None, {}

    def start(self):
        self.session = session(self.connect)

    def ask(self, planner, ask, wants):
        asks = self.links.get(planner)
        if asks is None:
            asks = self.links[planner] = Asks(self, planner)
        asks.ask(ask, wants)

    async def close(self):
        for asks in list(self.links.values()):
            asks.link.close()
        if self.session is not None:
            await self.session.close()


class Asks:
    """The asks on the connection to one planner, from the first until it breaks; the next makes another."""

    def __init__(self, client, planner):
        self.client, self.planner, self.out = client, planner, {}
        self.link = Link(client.session, client.connect, planner, PROTOCOL, self._hear, self._ended)

    def ask(self, ask, wants):
        self.out[ask] = None
        while len(self.out) > MOST_OUT:
            del self.out[next(iter(self.out))]
        self.link.send(write_ask(self.client.name, ask, wants))

    def _hear(self, data):
        ask, granted = read_grant(data)
        if ask in self.out:
            del self.out[ask]
            self.client.report(Heard(self.planner, ask, granted))

    def _ended(self):
        # No answer comes on it any more, and what was asked on it may have been granted: it is not asked again, the
        # forwarder asks anew.
        if self.client.links.get(self.planner) is self:
            del self.client.links[self.planner]
        for ask in self.out:
            self.client.report(Lost(self.planner, ask, True))
