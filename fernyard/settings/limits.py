"""Sizes, counts and times of the program itself: filled once at start and handed down."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Times are in seconds. Descriptors are shared out: what is idle goes first, what is in use stays."""

    body: int  # bytes of a req
    answer_body: int  # bytes of an answer
    clients: int  # client connections, past which idle ones are closed
    clients_unused: int  # of those that were used and now are not; past that the longest unused goes
    workers: int  # worker connections, past which none is kept idle
    workers_known: int  # workers that connections may belong to
    answer: float  # a pause within an answer, past which it has lost its end; 0 for none but the request's deadline
    answer_head: int  # bytes of the head of an answer
    counters: int  # connections to the counter
    backlog: int  # connections the kernel may hold for us
    line: int  # bytes of a line in the head of a req
    lines: int  # of them
    ids: int  # of reqs taken last, which no other may have
    units: float  # that a req may take
    client_idle: float  # a client connection that stood idle so long is closed
    whole_req: float  # a client connection new, or with part of a req, for so long is closed
    first_room: float  # a new one that has sent nothing for so long makes room first
    sweep: float  # between two looks at what has stood too long
    worker_rest: float  # a worker connection just answered is not used again for so long
    worker_idle: float  # a worker connection that stood idle so long is not used again
    connect: float  # a connection not up by then never came up
    count: float  # a call to the counter unanswered by then is given up
    counter_silence: float  # a counter connection with calls out and nothing heard is opened anew
    counter_pause: float  # between two tries to connect to the counter
    counter_owed: int  # calls unanswered on one connection, past which it is opened anew
    watch: float  # how long discovery may wait before it answers a watch
    watch_grace: float  # past that, a watch that was just answered is asked anew
    watch_crowd: float  # past that, any is; the mean pause after one was turned away, at first
    watch_longest_pause: float  # and as it doubles, at most
    watch_spread: float  # within which gatekeepers started together ask for the first time
    watch_pause: float  # between two tries after discovery could not be reached
    accept_after_stop: float  # after SIGTERM new connections keep coming
    killed: float  # after SIGTERM the process may be killed from then on
    longest_wait: float  # of a client, whatever it says
    grain: float  # timers due so close together ring together
    flush: float  # for the last answers to be written
    buffer: int = 0  # bytes of a socket's buffers each way, 0 for the system's choice

    @classmethod
    def fill(cls, told, settings):
        """From the machine's limits and the settings as the operators word them."""
        allowed, extra = settings.get("allowed", {}), settings.get("extra", {})
        # Where the list must be asked for, all gatekeepers share what discovery can take.
        asking = settings.get("membershipMode") == "subscribe"
        fleet = max(1, settings.get("balancers", 1)) if asking else 0
        longest = max((c["hardLimitMs"] for c in settings.get("classes", ())), default=30_000)
        memory = min(64, int(told.get("memory_mb", 64)))
        sockets = min(1024, int(told.get("sockets", 1024)))
        return cls(
            body=64 * 1024,
            answer_body=memory * 16 * 1024,
            clients=sockets // 2,
            clients_unused=sockets // 6,
            workers=sockets // 4,
            workers_known=4096,
            answer=0.15,
            answer_head=16 * 1024,
            counters=min(4, max(1, sockets // 64)),
            backlog=512,
            line=4096,
            lines=64,
            ids=2048,
            units=extra.get("maxUnits") or 1e6,
            client_idle=4.0,
            whole_req=2.0,
            first_room=0.1,
            sweep=0.25,
            worker_rest=0.01,
            worker_idle=min(60.0, 0.45 * allowed.get("connIdleMs", 15_000) / 1000),
            connect=allowed.get("connectTimeoutMs", 250) / 1000,
            count=extra.get("counterTimeoutMs", 50) / 1000,
            counter_silence=1.0,
            counter_pause=0.1,
            counter_owed=2000,
            watch=0.5,
            watch_grace=0.25,
            watch_crowd=2.0,
            # Four calls a second of all gatekeepers turned away together, ten of all that start together; elsewhere
            # what a gatekeeper has not asked for yet counts as told, and it asks at once.
            watch_longest_pause=max(0.1, min(10.0, 0.25 * fleet)),
            watch_spread=min(3.0, 0.1 * fleet),
            watch_pause=0.1,
            accept_after_stop=0.5,
            killed=min(3.0, longest / 1000) + 0.7,
            longest_wait=2 * longest / 1000,
            grain=0.004,
            flush=0.5,
        )
