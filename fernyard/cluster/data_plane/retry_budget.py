"""The budget for retries and hedged requests of one service, kept by each gateway for its fraction of what all may send
(rule BUDGET). Free of I/O; times are seconds."""

from collections import deque

# Of the ratio and the slack granted to all: the rest is for what we do not see.
RATIO_FRACTION, SLACK_FRACTION = 0.6, 0.4


class RetryBudget:
    """Attempts beyond the first of each request, within a sliding window."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        """`ratio` of retries to requests and `slack`, in retries, that all gateways together may send within `window`."""
        self.ratio, self.window, self.slack = RATIO_FRACTION * ratio, window, SLACK_FRACTION * slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def add_request(self, now: float) -> None:
        """A request is about to be forwarded for the first time."""
        self._requests.append(now)

    def allows_retry(self, now: float, gateways: int) -> bool:
        """May one more retry be sent now? `gateways`: how many share the slack."""
        for times in self._requests, self._retries:
            while times and times[0] <= now - self.window:
                times.popleft()
        allowed = self.ratio * len(self._requests) + self.slack / max(1, gateways)
        return len(self._retries) + 1 <= allowed

    def add_retry(self, now: float) -> None:
        """A retry is sent."""
        self._retries.append(now)
