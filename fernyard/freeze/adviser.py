"""What planners make of configuration changes: the part `config` of the agreed order. Free of I/O.

    {"now": DIGEST or null, "next": null or [DIGEST, since], "refused": [[DIGEST, why, do, at], ...]}

Every instance reports the digest that it serves and the one that it was handed and would serve (`keeper.py`). A digest that
one of them was handed becomes `next`; once each that is heard of has it, it becomes `now`, in one order. Inside a window, or
so near to one that the round could end in it, a change is refused with the window's name and end; one that is half-way is
undone. Refused is not queued. What is refused, and why, stands in the order for a while, so that every instance hears it.

Times in the order are whole tenths of a millisecond of Unix time; digests are text.
"""

from datetime import UTC

SECOND = 10_000
REMEMBERED = 10 * SECOND  # a refusal stands in the order for so long
NOTED = 30 * SECOND  # between two words of instances that serve by different files
MARGIN = 12.0  # seconds before a window in which no change begins: a round may be tried for so long
BLANK = {"now": None, "next": None, "refused": []}
DO_WINDOW = (
    "wait for its end, or declare an exception for this digest in the operator's file on a majority of planners and "
    "send SIGHUP again"
)
DO_ALL = "give every instance the same files, see that all are up, and send SIGHUP to all of them again"


class FreezeAdviser:
    """`windows`: as the operator's file declares them; `planners`: how many; `within`: how long all may take to be handed a
    change, in tenths of a millisecond."""

    name = "config"

    def __init__(self, windows, planners, within=60 * SECOND):
        self.windows, self.majority, self.within = windows, planners // 2 + 1, within
        self.noted, self.notes = 0, []

    def own(self, now):
        """What this planner tells the others of itself: the window it knows to be open, and what it declares exempt."""
        frozen = self.windows.frozen(now / SECOND, MARGIN)
        return {
            "frozen": frozen and [frozen.window, frozen.end],
            "exempt": [[e.window, e.digest] for e in self.windows.exemptions if now / SECOND < e.until],
        }

    def reread(self, operator):
        """Exceptions are declared beside a change, while planners run; what is told is logged on each."""
        self.windows.exemptions = operator.freeze.made(operator.accord.skew_s).exemptions
        return [
            {"window": e.window, "digest": e.digest, "reason": e.reason, "until": _moment(e.until)}
            for e in self.windows.exemptions
        ]

    def frozen(self, now, reports, digest):
        """[window, end] that holds this change back, or None: declared here or at any planner that is heard, and without an
        exception at a majority."""
        planners = [
            report[self.name]
            for name, report in reports.items()
            if name.startswith("planner ") and isinstance(report.get(self.name), dict)
        ]
        here = self.windows.frozen(now / SECOND, MARGIN)
        open_ = [told["frozen"] for told in planners if told.get("frozen")] + (
            [[here.window, here.end]] if here else []
        )
        if not open_:
            return None
        window, end = max(open_, key=lambda told: told[1])
        exempt = sum([window, digest] in told.get("exempt", ()) for told in planners)
        return None if exempt >= self.majority else [window, end]

    def fits(self, now, before, after, reports):
        """Whether what was advised may still be proposed: asked at each try, since a window may have come nearer."""
        before, after = before or BLANK, after or BLANK
        if before["now"] is None or before["now"] == after["now"]:
            return True
        return self.frozen(now, reports, after["now"]) is None

    def advise(self, now, reports, order):
        stands = order.parts.get(self.name) or BLANK
        told = {
            name: report[self.name]
            for name, report in reports.items()
            if not name.startswith("planner ") and isinstance(report.get(self.name), dict)
        }
        part = self._made(now, stands, told, reports)
        kept = [refused for refused in part["refused"] if now - refused[3] < REMEMBERED]
        if len(kept) < len(part["refused"]):
            part = {**part, "refused": kept}
        return order.parts.get(self.name) if part == stands else part

    def _made(self, now, part, told, reports):
        serving = {report.get("serving") for report in told.values()}
        if part["now"] is None:
            # The first word is no change: it is what all serve already.
            if len(serving) == 1 and None not in serving:
                return {**part, "now": next(iter(serving))}
            if len(serving) > 1 and now - self.noted > NOTED:
                self.noted = now
                self.notes.append(
                    (
                        "configurations_differ",
                        {
                            "serving": " ".join(
                                sorted(f"{name}={report.get('serving')}" for name, report in told.items())[:20]
                            ),
                            "do": "give every instance the same files and start it again: nothing is agreed until all serve alike",
                        },
                    )
                )
            return part
        if part["next"] is not None:
            digest, since = part["next"]
            frozen = self.frozen(now, reports, digest)
            if frozen is not None:
                return self._refused(now, part, digest, frozen)
            if told and all(digest in (report.get("staged"), report.get("serving")) for report in told.values()):
                return {**part, "now": digest, "next": None}
            if now - since > self.within:
                lacking = sorted(
                    name for name, report in told.items() if digest not in (report.get("staged"), report.get("serving"))
                )
                why = f"not handed to all within {self.within / SECOND:g} s: {', '.join(lacking[:5])} had it not"
                return self._refused(now, part, digest, None, why, DO_ALL)
            return part
        just = {refused[0] for refused in part["refused"]}
        for digest in sorted({report["staged"] for report in told.values() if report.get("staged")}):
            if digest == part["now"] or digest in just:
                continue
            frozen = self.frozen(now, reports, digest)
            if frozen is not None:
                return self._refused(now, part, digest, frozen)
            return {**part, "next": [digest, now]}
        return part

    @staticmethod
    def _refused(now, part, digest, frozen, why="", do=DO_WINDOW):
        if frozen is not None:
            why = f"frozen by {frozen[0]!r} until {_moment(frozen[1])}"
        return {**part, "next": None, "refused": [*part["refused"], [digest, why, do, now]]}


def _moment(unix):
    from datetime import datetime

    return datetime.fromtimestamp(unix, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
