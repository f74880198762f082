"""What happens in a run, drawn from its seed before it begins: requests, orders of the operator, and troubles in series that
overlap. Free of I/O; times are seconds from the start of the load.
"""

import hashlib
import json
from random import Random
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from .description import SoakDescription

# Kinds of trouble. Of data planes, control planes, workers, the platform; a name ends in what is done.
GATEWAY_KINDS = ("gateway_term", "gateway_kill", "gateway_hup", "gateway_stop")
# "alone": all control planes but one are down, and that one then loses its disk.
# "holder": the one that holds the lease stands still.
CONTROL_KINDS = (
    "control_term",
    "control_kill",
    "control_hup",
    "control_stop",
    "control_holder_stop",
    "control_wipe",
    "control_alone",
)
WORKER_KINDS = (
    "worker_slow",
    "worker_break",
    "worker_lose",
    "worker_refuse",
    "worker_crash",
    "worker_drain",
    "link_cut",
    "link_slow",
)
PLATFORM_KINDS = ("platform_silent", "platform_429")
TROUBLE_KINDS = (*GATEWAY_KINDS, *CONTROL_KINDS, *WORKER_KINDS, *PLATFORM_KINDS, "kill_all")
LASTING = (
    "gateway_stop",
    "control_stop",
    "control_holder_stop",
    "control_alone",
    "worker_slow",
    "worker_break",
    "worker_lose",
    "worker_refuse",
    "link_cut",
    "link_slow",
)
# How far a client goes before it leaves; STAYS for those that wait for their answer.
STAYS, INCOMPLETE, SENT, IN_ANSWER = "stays", "incomplete", "sent", "in answer"
REQUEST_KINDS, REQUEST_WEIGHTS = ("read", "write", "large"), (0.55, 0.3, 0.15)
ORDER_KINDS = (
    "valid",
    "valid",
    "refused",
    "refused",
    "race",
    "evacuate",
    "series",
    "overtaken",
    "revoke",
    "read",
    "read",
)
REFUSED_HOWS = ("odd_kind", "cut_short", "unknown_service", "bad_prefix", "other_bytes")
SERIES_GAP, SERIES_START = 2.0, 2.0
CONTROL_GAP = 11.0  # between troubles of control planes: one is down at a time, `syncS` after its return included
TROUBLE_EVERY = (1.3, 2.5, 5.0)  # on average; one of these for each seed
PATIENCE = 4.0  # of clients
LONGEST_STAY = 0.45  # a client that leaves does so within this time after its request was sent


@attrs.frozen
class Arrival:
    """One request of a client. `leaves`: the stage at which it leaves, `after`: seconds until then; `fresh`: on a new connection."""

    at: float
    number: int
    client: int
    kind: str
    tenant: str
    leaves: str
    after: float
    fresh: bool


@attrs.frozen
class Order:
    """One call of the operator, or a pair of them. `how`: what is wrong with it, or the zone."""

    at: float
    kind: str
    how: str


@attrs.frozen
class Trouble:
    """`target`: the number of the process or worker, among those of its kind; `seconds`: how long it lasts."""

    at: float
    kind: str
    target: int
    seconds: float


@attrs.frozen
class Schedule:
    """All of one run."""

    seed: int
    arrivals: tuple[Arrival, ...]
    orders: tuple[Order, ...]
    troubles: tuple[Trouble, ...]

    def digest(self) -> str:
        """The same for the same run."""
        return hashlib.sha256(self.to_json().encode()).hexdigest()[:16]

    def to_json(self) -> str:
        """As text; `from_json` reads it."""
        return json.dumps(attrs.asdict(self), sort_keys=True)

    def with_troubles(self, troubles: tuple[Trouble, ...]) -> "Schedule":
        """The same run with other troubles."""
        return attrs.evolve(self, troubles=troubles)


def from_json(text: str) -> Schedule:
    """A schedule as `Schedule.to_json` wrote it. Raises ValueError, TypeError or KeyError for what is none."""
    fields: dict[str, Any] = json.loads(text)
    return Schedule(
        fields["seed"],
        tuple(Arrival(**arrival) for arrival in fields["arrivals"]),
        tuple(Order(**order) for order in fields["orders"]),
        tuple(Trouble(**trouble) for trouble in fields["troubles"]),
    )


def make(description: "SoakDescription", seed: int) -> Schedule:
    """The run of that seed."""
    return Schedule(
        seed,
        _arrivals(description, Random(f"arrivals {seed}")),
        _orders(description, Random(f"orders {seed}")),
        _troubles(description, seed, Random(f"troubles {seed}")),
    )


def _arrivals(description: "SoakDescription", random: Random) -> tuple[Arrival, ...]:
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        at += random.expovariate(description.rate)
        if at >= description.seconds:
            return tuple(arrivals)
        leaves = STAYS
        if random.random() < description.leaving:
            leaves = random.choice((INCOMPLETE, SENT, SENT, SENT, IN_ANSWER))
        arrivals.append(
            Arrival(
                round(at, 4),
                len(arrivals),
                random.randrange(description.clients),
                random.choices(REQUEST_KINDS, REQUEST_WEIGHTS)[0],
                "limited" if random.random() < 0.2 else "free",
                leaves,
                round(LONGEST_STAY * random.random() ** 2, 4),
                random.random() < 0.3,
            )
        )


def _orders(description: "SoakDescription", random: Random) -> tuple[Order, ...]:
    orders: list[Order] = []
    at = 1.0
    while at < description.seconds - description.calm:
        kind = random.choice(ORDER_KINDS)
        zone = f"z{random.randrange(3)}"
        how = {"refused": random.choice(REFUSED_HOWS), "evacuate": zone, "series": zone, "overtaken": zone}.get(
            kind, ""
        )
        orders.append(Order(round(at, 3), kind, how))
        at += random.uniform(0.5, 3.5)
    return tuple(orders)


def _troubles(description: "SoakDescription", seed: int, random: Random) -> tuple[Trouble, ...]:
    """One run in three is built round a planned series; one in ten ends with all processes killed. In one in four nothing is done to
    control planes, so that bounds that need a settled core can be judged."""
    allowed = set(description.troubles)
    if seed % 4 == 1:
        allowed -= {*CONTROL_KINDS, "kill_all"}
    interval = random.choice(TROUBLE_EVERY)
    end = description.seconds - description.calm
    troubles = _series(description, random) if seed % 3 == 0 and "gateway_term" in allowed else []
    kinds = [kind for kind in TROUBLE_KINDS if kind in allowed and kind != "kill_all"]
    at, control_free = SERIES_START, SERIES_START
    while kinds and at < end:
        kind = random.choice(kinds)
        if kind not in CONTROL_KINDS or at >= control_free:
            troubles.append(_trouble(description, random, at, kind))
            control_free = at + CONTROL_GAP if kind in CONTROL_KINDS else control_free
        at += random.expovariate(1 / interval)
    if seed % 10 == 0 and "kill_all" in allowed:
        troubles.append(Trouble(round(end, 3), "kill_all", 0, 1.0))
    return tuple(sorted(troubles, key=lambda trouble: trouble.at))


def _series(description: "SoakDescription", random: Random) -> list[Trouble]:
    """Every gateway is restarted, one after the other, as often as there is time for, twice at most."""
    end = description.seconds - description.calm
    order = list(range(description.data_planes))
    random.shuffle(order)
    times = [SERIES_START + SERIES_GAP * number for number in range(2 * len(order))]
    return [Trouble(at, "gateway_term", order[number % len(order)], 0.0) for number, at in enumerate(times) if at < end]


def _trouble(description: "SoakDescription", random: Random, at: float, kind: str) -> Trouble:
    counts = {"gateway": description.data_planes, "control": description.control_planes}
    target = random.randrange(counts.get(kind.partition("_")[0], description.workers))
    longest = 2.0 if kind.endswith("stop") else 6.0
    seconds = random.uniform(0.5, longest) if kind in LASTING or kind in PLATFORM_KINDS else random.uniform(0.2, 1.5)
    return Trouble(round(at, 3), kind, target, round(seconds, 3))
