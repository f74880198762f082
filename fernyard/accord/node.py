"""A planner's side of the agreed order on sockets: messages in and out, votes to disk in a thread of their own; `OrderPlanner`
decides."""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from itertools import count

import structlog

from ..errors import FernyardError
from ..plan.link import Link, session
from .follower import Standing
from .planner import MOST_REPORT, OWN, Agreed, Followed, Note, OrderPlanner, Reply, Summary, Tell
from .register import Beat, Heard, Send, Store, Stored
from .wire import PROTOCOL, BadMessage, Follow, Planner, Summary as WiredSummary, read, write

log = structlog.get_logger(__name__)
AGAIN = 0.3  # seconds between two tries to reach another planner


class AccordNode:
    """`settings`: `PlannerSettings`; `store`: a `VoteStore`; `addresses`: of all planners, this one's among them; `clock`:
    in tenths of a millisecond, never back; `reread` reads the operator's file as it stands, for what advisers take from
    it at SIGHUP (`reread(operator)` of theirs)."""

    def __init__(self, settings, store, addresses, connect, clock, counts, advisers=None, reread=None):
        self.set, self.store, self.addresses, self.connect = settings, store, addresses, connect
        self.clock, self.counts, self.reread = clock, counts, reread
        self.model = OrderPlanner(settings, store.vote, advisers)
        # A vote on disk may take long; nothing else waits for it.
        self.disk = ThreadPoolExecutor(1, "votes")
        self.keys, self.asks = count(1), {}
        self.links, self.again, self.alarm, self.alarm_at, self.loop = {}, {}, None, 0, None
        self.told_failing = False

    def start(self):
        self.loop = asyncio.get_running_loop()
        self.session = session(self.connect)
        log.info(
            "accord_ready", planner=self.set.me, of=self.set.count, cluster=self.model.register.cluster or "none yet"
        )
        self.tell(Beat())

    # Messages in -------------------------------------------------------------------------------------------

    def hear(self, data, planner, reply):
        """One message of version 2 from a connection on which `planner` (a number, or None) has named itself; `reply(data)`
        sends on it. Returns which planner the connection is now; BadMessage: it is none."""
        message = read(data)
        kind = type(message)
        if kind is Planner:
            if message.planner >= self.set.count or message.planner == self.set.me:
                raise BadMessage("no such planner")
            return message.planner
        if kind is Follow:
            if len(data) > MOST_REPORT or message.name.startswith(OWN):
                raise BadMessage("a report too long, or in a planner's name")
            key = next(self.keys)
            self.asks[key] = reply
            self.counts.add("accord", "follows")
            self.tell(Followed(key, message.name, message.number, message.have, message.report))
        elif planner is None or kind is Standing:
            raise BadMessage("not from a planner")
        elif kind is WiredSummary:
            self.tell(Summary(planner, message.reports))
        else:
            self.tell(Heard(planner, message))
        return planner

    def reload(self):
        """At SIGHUP; a file that cannot be used changes nothing."""
        try:
            operator = self.reread()
            for adviser in self.model.advisers.values():
                if hasattr(adviser, "reread"):
                    for told in adviser.reread(operator):
                        log.warning("exception_declared", **told)
        except FernyardError as why:
            log.warning("reload_refused", **why.fields())

    # Orders out --------------------------------------------------------------------------------------------

    def tell(self, told):
        try:
            for order in self.model.step(self.clock(), told):
                self._carry_out(order)
        except Exception:
            # Whatever one message breaks, the vote stands on disk and the others go on.
            self.counts.add("faults")
            log.exception("accord_fault", told=type(told).__name__)
        if self.alarm is None or self.model.due < self.alarm_at:
            if self.alarm is not None:
                self.alarm.cancel()
            self.alarm_at = self.model.due
            self.alarm = self.loop.call_later(max(0.001, (self.alarm_at - self.clock()) / 10_000), self._ring)

    def _ring(self):
        self.alarm = None
        self.tell(Beat())

    def _carry_out(self, order):
        kind = type(order)
        if kind is Send:
            self._send(order.planner, order.message)
        elif kind is Tell:
            self._send(order.planner, WiredSummary(order.reports))
        elif kind is Store:
            self.loop.create_task(self._save(order))
        elif kind is Reply:
            reply = self.asks.pop(order.key, None)
            if reply is not None:
                reply(write(order.standing))
        elif kind is Note:
            log.warning(order.event, **order.fields)
        elif kind is Agreed:
            self.counts.add("accord", "orders")
            log.info(
                "order_agreed",
                version=order.order.version,
                digest=order.order.digest,
                cluster=self.model.register.cluster,
            )

    async def _save(self, order):
        well = await self.loop.run_in_executor(self.disk, self.store.save, order.vote)
        if well == self.told_failing:
            self.told_failing = not well
            (log.info if well else log.error)(
                "vote_stored_again" if well else "vote_not_stored",
                store=str(self.store.path),
                do="" if well else "this planner abstains until its store can be written: free the disk it is on",
            )
        self.counts.add("accord", "stored" if well else "not_stored")
        self.tell(Stored(order.number, well))

    def _send(self, planner, message):
        """What cannot be sent now is lost: the register asks again."""
        link = self.links.get(planner)
        if link is None:
            if self.loop.time() < self.again.get(planner, 0.0):
                return
            self.again[planner] = self.loop.time() + AGAIN
            link = self.links[planner] = Link(
                self.session,
                self.connect,
                self.addresses[planner],
                PROTOCOL,
                self._unasked,
                lambda: self._ended(planner, link),
            )
            link.send(write(Planner(self.set.me)))
        link.send(write(message))

    def _unasked(self, data):
        raise BadMessage("planners answer on connections of their own")

    def _ended(self, planner, link):
        if self.links.get(planner) is link:
            del self.links[planner]

    async def close(self):
        if self.alarm is not None:
            self.alarm.cancel()
        for link in list(self.links.values()):
            link.close()
        self.links.clear()
        await self.session.close()
        self.disk.shutdown(wait=True)
        self.store.close()
