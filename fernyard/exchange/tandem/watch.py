"""What the control plane knows without a disk: which switchboards live, what the platform's list says, and from both the
board that all follow. Free of I/O."""

import attrs

from ..trunk import rendezvous
from ..trunk.messages import Desk, Worker

SILENT, MOST_SILENT = 1.1, 3.0      # seconds without a beat until a switchboard is taken off
GAPS, GAP_FADE = 2.0, 0.97          # times its longest gap of late, where that is more: its link may be full
LIST_EVERY = 0.7            # between two looks at the platform's list, for a list that lags by about as much
LIST_PART = 0.2             # of the rate that the platform grants to all
COLD_GUESS = 1.0            # added to a cold spell told, for the way of the news
ADDRESSES, FEW, TTL = 64, 2, 1.0        # of an answer to clients: at most, at least, seconds
STRANGERS = 2.0             # seconds after a start in which only switchboards heard are named, where any is
BOARD_KEPT = 1.0            # between two times that the board is kept on disk


@attrs.define
class Seen:
    hello: object
    at: float
    gap: float = 0.0

    def silent(self, now):
        return now - self.at >= min(MOST_SILENT, max(SILENT, GAPS * self.gap))


class Watch:
    def __init__(self, now, zones, rate):
        """`zones`: {zone: region}; `rate`: calls a second that the platform takes from all."""
        self.zones, self.began, self.seen, self.highest = zones, now, {}, 0
        self.listed, self.pages, self.list_at = None, {}, now
        self.every = max(LIST_EVERY, 1.0 / max(0.01, LIST_PART * rate))

    def heard(self, now, hello):
        """A switchboard told how it is."""
        seen = self.seen.get(hello.node)
        known = seen is not None and seen.hello.life == hello.life
        gap = max(seen.gap * GAP_FADE, min(MOST_SILENT, now - seen.at)) if known else 0.0
        self.seen[hello.node] = Seen(hello, now, gap)
        self.highest = max(self.highest, hello.board[0])

    def desks(self, now):
        """{node: Desk} of those that are alive and stay."""
        return {node: Desk(node, seen.hello.ip, seen.hello.zone, seen.hello.region, seen.hello.front, seen.hello.ready)
                for node, seen in self.seen.items() if not seen.silent(now) and not seen.hello.leaving}

    def alive(self, now):
        return [seen.hello for seen in self.seen.values() if not seen.silent(now)]

    # The platform's list ---------------------------------------------------------------------------------------------

    def list_due(self, now):
        return now >= self.list_at

    def list_asked(self, now):
        self.list_at = now + self.every

    def list_page(self, now, rows, more):
        """A page of the list as [{field: value}]; True once the list is whole."""
        for row in rows:
            left = row.get("coldLeftS") or 0.0
            known = self.listed.get(row["id"]) if self.listed else None
            until = now + left + COLD_GUESS if left > 0 else 0.0
            if known is not None and known.cold_until and until and abs(known.cold_until - until) < 2 * self.every:
                until = known.cold_until        # the same spell, told again: no change of the board
            self.pages[row["id"]] = Worker(row["id"], row["svc"], row["addr"], row["zone"], int(row["capacity"]),
                                           row["phase"] != "ready", until)
        if not more:
            self.listed, self.pages = self.pages, {}
        return not more

    def list_failed(self, now, turned_away):
        self.pages = {}
        if turned_away:
            self.list_at = now + 2 * self.every

    # Clients that ask where to go ------------------------------------------------------------------------------------

    def resolve(self, now, zone, region, desks):
        """Addresses for a client of that zone and region, near first; None while nobody is known."""
        ready = {node: desk for node, desk in desks.items() if desk.ready}
        # A switchboard that left or fell silent here is left out before the board tells it, and after a start those that
        # a board of before names and that may not be back.
        ready = {node: desk for node, desk in ready.items() if not self._gone(now, node)} or ready
        near = [desk.front for desk in ready.values() if desk.zone == zone]
        if len(near) < FEW:
            near = [desk.front for desk in ready.values() if desk.region == region]
        if len(near) < FEW:
            rest = rendezvous.few(zone, [desk.front for desk in ready.values() if desk.front not in near], FEW)
            near += rest
        return sorted(near)[:ADDRESSES] or None

    def _gone(self, now, node):
        seen = self.seen.get(node)
        if seen is None:
            return now - self.began < STRANGERS
        return seen.hello.leaving or seen.silent(now)
