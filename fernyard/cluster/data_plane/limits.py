"""The limits of the gatekeeper's connections and of the bodies on them, from what this machine may use."""

from ...settings.limits import Limits
from ..common.memory_budget import MemoryBudget
from ..common.settings import Settings

BYTES_PER_MBIT = 125_000
RESERVED_DESCRIPTORS, MIN_SOCKETS = 300, 64
BUFFERED_LINK_TIME = 0.06  # seconds of the link that one connection may fill
WIDE_BUFFER = 1 << 18  # bytes from which on a connection's buffer is not bounded
ACCEPT_AFTER_STOP = 2.2  # seconds after SIGTERM in which new connections are taken

BYTES_PER_MB = 1_000_000
# Of the machine's memory: large bodies of requests, of answers, and what each keeps for small ones. The rest is for the program, what
# it knows, and bytes that wait unread. The largest body that a client may send has room on a machine of 192 MB.
REQUEST_FRACTION, ANSWER_FRACTION, SMALL_FRACTION = 0.35, 0.15, 0.07
MOST_WAITING = 8  # large bodies of requests; each that waits unread takes memory as well


def request_budget(settings: Settings) -> MemoryBudget:
    """For the bodies of requests."""
    return _budget(settings, REQUEST_FRACTION, MOST_WAITING)


def answer_budget(settings: Settings) -> MemoryBudget:
    """For the bodies of answers: one that its worker has run for is never refused, so any number may wait."""
    return _budget(settings, ANSWER_FRACTION, None)


def _budget(settings: Settings, fraction: float, most_waiting: int | None) -> MemoryBudget:
    memory = settings.memory_mb * BYTES_PER_MB
    reserve = int(SMALL_FRACTION * memory)
    return MemoryBudget(int(fraction * memory) + reserve, reserve, most_waiting)


def limits(settings: Settings) -> Limits:
    """Descriptors are divided among clients and workers; buffers follow the link. What the system does not use is 0."""
    sockets = max(MIN_SOCKETS, settings.descriptors - RESERVED_DESCRIPTORS)
    buffer = int(settings.link_mbps * BYTES_PER_MBIT * BUFFERED_LINK_TIME)
    return Limits(
        body=1 << 26,
        answer_body=1 << 24,
        clients=sockets // 2,
        clients_unused=sockets // 4,
        workers=sockets // 3,
        workers_known=4096,
        answer=0.0,  # a worker's silence is no reason to end an answer sooner (RULES.md)
        answer_head=16 * 1024,
        counters=0,
        backlog=512,
        line=16 * 1024,
        lines=128,
        ids=0,
        units=0.0,
        client_idle=15.0,
        whole_req=3.0,
        first_room=0.1,
        sweep=0.25,
        worker_rest=0.01,
        worker_idle=4.5,
        connect=0.4,
        count=0.0,
        counter_silence=0.0,
        counter_pause=0.0,
        counter_owed=0,
        watch=0.0,
        watch_grace=0.0,
        watch_crowd=0.0,
        watch_longest_pause=0.0,
        watch_spread=0.0,
        watch_pause=0.0,
        accept_after_stop=ACCEPT_AFTER_STOP,
        killed=settings.bound("graceS", 5.0),
        longest_wait=60.0,
        grain=0.002,
        flush=0.5,
        buffer=buffer if buffer < WIDE_BUFFER else 0,
    )
