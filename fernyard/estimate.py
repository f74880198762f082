"""The weighted two-bucket estimate of a customer's late use (PAPER, DESIGN-fernyard.md); decaying means."""

from math import exp

# Length and limit in bursts; what told totals grant of a ceiling's rate; what one teaches of our part.
SECOND, BUCKET_BURSTS, LIMIT_BURSTS, TOLD_PART, LEARN = 10_000, 1.25, 1.35, 0.5, 0.1
SHORTEST_BUCKET, LONGEST_BUCKET, LONGEST_KEEP = SECOND // 2, 18 * SECOND, 60 * SECOND


def bucket_length(rate, burst):
    return min(LONGEST_BUCKET, max(SHORTEST_BUCKET, int(BUCKET_BURSTS * burst / rate * SECOND)))


def sure_part(plan, doors, length, limit, most):
    """Of a ceiling and its slack, the units that told totals, being of all doors, may grant at once and again
    each bucket. Harms by as much again when the counter has lost its counts."""
    room = plan.ceiling_depth + plan.ceiling_slack - doors * most  # a share of the rest holds a whole req
    return max(0.0, min(limit, room, TOLD_PART * plan.ceiling_rate * length / SECOND))


class Tally:
    """What is known of one customer's two buckets: by rate, or of dispatches out."""

    def __init__(self, customer, by_open, length, limit):
        self.customer, self.by_open, self.length, self.limit = customer, by_open, length, limit
        self.share, self.bucket, self.total, self.own = 1.0 / customer.doors, -2, 0.0, 0.0
        self.was, self.was_own, self.was_known, self.sure = 0.0, 0.0, False, 0.0

    def roll(self, now):
        bucket = now // self.length
        if bucket == self.bucket:
            return
        last = bucket == self.bucket + 1
        self.was, self.was_own = (self.total, self.own) if last else (0.0, 0.0)
        self.was_known, self.bucket, self.total, self.own = False, bucket, 0.0, 0.0

    def overlap(self, now):
        into = min(1.0, now / self.length - self.bucket)
        # By open, half a bucket is as long as a dispatch can be out: then the previous holds only leaks.
        return float(into < 0.5) if self.by_open else 1.0 - into

    def estimate(self, now, was=None):
        return (self.was if was is None else was) * self.overlap(now) + self.total

    def told(self, bucket, total, units):
        """A total came back; one below our own standing units shows that the counter lost counts."""
        if bucket == self.bucket:
            self.total = max(total, self.own)
            if total > units > 0:
                # Our part of the customer's traffic, beside the req that asks: from totals told alone.
                part = min(1.0, max(0.0, self.own - units) / (total - units))
                self.share += LEARN * (part - self.share)
        elif bucket == self.bucket - 1:
            self.was, self.was_known = max(total, self.was_own), True

    def put(self, bucket, units):
        if bucket == self.bucket:
            self.own = max(0.0, self.own + units)
            self.total = max(self.own, self.total + units)
        elif bucket == self.bucket - 1:
            self.was_own = max(0.0, self.was_own + units)


class Mean:
    """A mean over the last `tau` or so, and `weight` values of `start` that never fade."""

    def __init__(self, tau, now, start=0.0, weight=1.0):
        self.tau, self.at, self.sum, self.n, self.start, self.weight = tau, now, 0.0, 0.0, start, weight

    def total(self, now):
        if now > self.at:
            left = exp((self.at - now) / self.tau)
            self.sum, self.n, self.at = self.sum * left, self.n * left, now
        return self.sum

    def add(self, now, value):
        self.sum = self.total(now) + value
        self.n += 1.0

    def read(self, now):
        return (self.total(now) + self.start * self.weight) / (self.n + self.weight)
