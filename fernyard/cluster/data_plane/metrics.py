"""What a gateway counts about itself, and its text form for the role's `metrics` address (Prometheus exposition format 0.0.4).

Free of I/O; times are seconds.
"""

from collections import Counter
from enum import Enum

import attrs

METRICS_PORT, METRICS_PATH = 9464, "/metrics"  # as `deploy/system.toml` names them
PREFIX = "fernyard_gateway_"


class ClientStage(Enum):
    """What a request waited for when its client left."""

    ADMISSION = "admission"  # the tenant's counter
    ATTEMPT = "attempt"  # a worker
    ANSWERED = "answered"  # nothing: its answer was on the way


@attrs.define
class RouterMetrics:
    """Counts since the start of the process.

    `forwarded`: attempts; `unserved`: answers 502, 503 and 504 of our own; `clients_gone`: clients that left, by stage;
    `abandoned`: attempts that ended after nobody waited for them any more, by how they ended; `abandoned_seconds`: for how long
    those went on, in sum, and `longest_abandoned` at most; `unreadable_plans`: updates whose configuration could not be read.
    """

    forwarded: int = 0
    unserved: int = 0
    clients_gone: Counter[str] = attrs.Factory(Counter)
    abandoned: Counter[str] = attrs.Factory(Counter)
    abandoned_seconds: float = 0.0
    longest_abandoned: float = 0.0
    unreadable_plans: int = 0

    def record_client_gone(self, stage: ClientStage) -> None:
        """A client left."""
        self.clients_gone[stage.value] += 1

    def record_abandoned(self, end: str, seconds: float) -> None:
        """An attempt ended so many seconds after its request was closed."""
        self.abandoned[end] += 1
        self.abandoned_seconds += seconds
        self.longest_abandoned = max(self.longest_abandoned, seconds)


def render(metrics: RouterMetrics, in_flight: int, without_room: int = 0) -> bytes:
    """All counts as text. `in_flight`: attempts under way now; `without_room`: requests refused since their bodies found no room in
    memory."""
    lines = [
        f"{PREFIX}attempts_total {metrics.forwarded}",
        f"{PREFIX}attempts_in_flight {in_flight}",
        f"{PREFIX}unserved_total {metrics.unserved}",
        f"{PREFIX}abandoned_seconds_total {metrics.abandoned_seconds:.3f}",
        f"{PREFIX}abandoned_seconds_max {metrics.longest_abandoned:.3f}",
        f"{PREFIX}unreadable_plans_total {metrics.unreadable_plans}",
        f"{PREFIX}bodies_without_room_total {without_room}",
    ]
    lines += _labelled("clients_gone_total", "stage", metrics.clients_gone)
    lines += _labelled("abandoned_total", "end", metrics.abandoned)
    return ("\n".join(lines) + "\n").encode()


def _labelled(name: str, label: str, counts: Counter[str]) -> list[str]:
    return [f'{PREFIX}{name}{{{label}="{key}"}} {count}' for key, count in sorted(counts.items())]
