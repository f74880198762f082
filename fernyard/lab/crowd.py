"""Models of what many gatekeepers share beside the counter: a discovery that must be asked and answers only so many lines
a second, and the connections that each worker holds. Free of I/O; times in tenths of a millisecond."""

SECOND = 10_000


class Crowded:
    """A discovery service of fixed capacity: each call costs `call_lines` and a line for each entry told, calls wait in
    turn, one that would wait longer than `overbook` time-outs is turned away at once, and one not answered within the
    time-out has failed, though its work is done all the same."""

    def __init__(self, told):
        self.told, self.free_at = told, 0
        self.counts = {"answered": 0, "late": 0, "turned away": 0}

    def ask(self, now, lines):
        """(what comes of it, when)"""
        timeout = int(self.told.timeout_s * SECOND)
        if self.free_at - now > self.told.overbook * timeout:
            self.counts["turned away"] += 1
            return "turned away", now
        self.free_at = max(now, self.free_at) + int((self.told.call_lines + lines) / self.told.lines_per_s * SECOND)
        end = "answered" if self.free_at - now <= timeout else "late"
        self.counts[end] += 1
        return end, min(self.free_at, now + timeout)


class Connections:
    """Which connections gatekeepers keep to workers, and how many each worker had opened in each second."""

    def __init__(self, keep):
        self.keep, self.idle, self.opened = keep, {}, {}

    def take(self, gatekeeper, worker, now):
        kept = self.idle.setdefault((gatekeeper, worker), [])
        while kept and now - kept[0] > self.keep:
            kept.pop(0)
        if kept:
            kept.pop()
        else:
            at = worker, now // SECOND
            self.opened[at] = self.opened.get(at, 0) + 1

    def back(self, gatekeeper, worker, now):
        self.idle.setdefault((gatekeeper, worker), []).append(now)

    def lost(self, gatekeeper=None, worker=None):
        """All connections of one that died."""
        for key in self.idle:
            if gatekeeper in (None, key[0]) and worker in (None, key[1]):
                self.idle[key] = []

    def figures(self, seconds):
        """The most that one worker had opened in one second, and the mean over all workers met."""
        workers = len({worker for worker, _ in self.opened}) or 1
        return {
            "most": max(self.opened.values(), default=0),
            "mean": round(sum(self.opened.values()) / workers / seconds, 3),
        }
