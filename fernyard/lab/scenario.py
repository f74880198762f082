"""A scenario of the laboratory, in TOML, checked with pydantic: customers and their load, workers, and a
timeline of faults. `load_scenario(path)` returns a `Scenario` or raises `BadScenario` naming the field at
fault.

    name = "calm"
    duration = 6.0            # seconds of load
    client_timeout = 0.48     # seconds, as X-Time-Left
    [[customers]]
    id = "00000000b4d65521"   # 16 hex digits, as the protocol page names customers
    plan = "large"
    rate = 40.0               # reqs a second, open loop: arrivals keep coming when answers are late
    [[workers]]
    name = "s-0"
    [[faults]]
    at = 2.0
    target = "s-0"            # a worker's name, "counter", "counter:N", "discovery:NAME" or "gatekeeper:N"
    fault = "pause"           # a worker's Fault, a counter mode, "drain" / "gone" / "back" in discovery, "kill"
    until = 3.0
"""

import tomllib
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from .model import Fault

SHIPPED = Path(__file__).parent / "scenarios"


class BadScenario(ValueError):
    """A scenario that cannot be played; the message names the file and the field."""


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Burst(Strict):
    at: float = Field(ge=0)
    length: float = Field(gt=0)
    factor: float = Field(gt=0)


class Customer(Strict):
    id: str = Field(pattern=r"^[0-9a-f]{16}$")
    plan: str
    rate: float = Field(gt=0, le=5000)
    units: float = Field(default=1.0, gt=0, le=9)
    route: str = "look up"
    bursts: tuple[Burst, ...] = ()


class Route(Strict):
    """A class of reqs, as the protocol page words it: `semantics` "free" (replayable), "guarded" (uniqued in its
    `keyScope` for `repeatWindowMs`) or "single_shot" (non-replayable)."""

    name: str = Field(min_length=1, max_length=64)
    semantics: Literal["free", "guarded", "single_shot"] = "free"
    keyScope: Literal["all", "zone", "cell"] = "cell"
    repeatWindowMs: float = Field(default=0.0, ge=0)


class Hostile(Strict):
    """Clients that hold connections: `silent` ones send nothing, `trickle` ones a req's head a byte at a
    time."""

    kind: Literal["silent", "trickle"]
    at: float = Field(ge=0)
    length: float = Field(gt=0, le=600)
    connections: int = Field(ge=1, le=2000)
    gatekeeper: int = Field(default=0, ge=0)


class Worker(Strict):
    name: str = Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    places: int = Field(default=8, ge=1, le=1024)
    queue: int = Field(default=32, ge=0, le=100_000)
    mean: float = Field(default=0.02, gt=0, le=10)
    sigma: float = Field(default=0.5, ge=0, le=3)
    cold_share: float = Field(default=1.0, gt=0, le=1)
    warm_up: float = Field(default=0.0, ge=0)
    zone: str = "here"
    cell: int = 1


class Discovery(Strict):
    """A discovery that must be asked (emulated clock alone): `lines_per_s` it can send, `call_lines` that a call costs
    beside a line an entry; a call is turned away when its answer would take over `overbook` time-outs."""

    lines_per_s: float = Field(gt=0, le=1_000_000)
    call_lines: float = Field(default=30.0, ge=0, le=10_000)
    overbook: float = Field(default=1.0, gt=0, le=100)
    timeout_s: float = Field(default=2.0, gt=0, le=60)


# "mark" keeps the counter's values as they are; "stale" brings back those of the last mark (none: empty);
# "split" gives the target faces a store of their own until the step ends.
COUNTER_FAULTS = ("up", "lost", "silent", "slow", "busy", "fresh", "stale", "mark", "split")
# "silent" answers nothing until it ends (on sockets the process is stopped); "slow" answers `delay` s late (on the
# emulated clock alone).
# "starve" (emulated clock alone): each event costs `delay` times as much processor time as elsewhere.
GATEKEEPER_FAULTS = ("kill", "starve")
PLANNER_FAULTS = ("kill", "silent", "slow")
# "mark" keeps the registry's list as it is, "stale" serves that one until it ends; "lossy" leaves every other change out
# of its deltas; "all-down" marks every instance DOWN.
REGISTRY_FAULTS = ("unreachable", "slow", "mark", "stale", "lossy", "all-down")
DISCOVERY_FAULTS = ("drain", "gone", "back")


class Step(Strict):
    at: float = Field(ge=0)
    target: str
    fault: str
    until: float | None = None
    delay: float = Field(default=0.0, ge=0, le=30)

    @model_validator(mode="after")
    def _known(self):
        if self.until is not None and self.until <= self.at:
            raise ValueError("until comes before at")
        return self


class Scenario(Strict):
    name: str
    duration: float = Field(gt=0, le=3600)
    client_timeout: float = Field(default=0.48, gt=0, le=60)
    gatekeepers: int = Field(default=2, ge=1, le=64)
    registry: Literal["discovery", "eureka"] = "discovery"
    discovery: Discovery | None = None  # None: it tells all changes by itself
    planners: int = Field(default=0, ge=0, le=16)  # above 0 the gatekeepers are forwarders to so many planners
    customers: tuple[Customer, ...] = Field(min_length=1)
    workers: tuple[Worker, ...] = Field(min_length=1)
    faults: tuple[Step, ...] = ()
    hostile: tuple[Hostile, ...] = ()
    plans: dict[str, dict] | None = None
    routes: tuple[Route, ...] = ()
    operator: dict | None = None  # what stands in the operator file given to each gatekeeper
    # Processor time of a gatekeeper for each event (a req, an answer, a timer), on the emulated clock; 0: none.
    event_cost_ms: float = Field(default=0.0, ge=0.0, le=100.0)
    most_reqs: int = Field(default=200_000, ge=1, le=2_000_000)

    @model_validator(mode="after")
    def _targets(self):
        names = [worker.name for worker in self.workers]
        if len(set(names)) != len(names):
            raise ValueError("two workers have one name")
        for n, bad in enumerate(self.hostile):
            if bad.gatekeeper >= self.gatekeepers:
                raise ValueError(f"hostile[{n}]: no gatekeeper {bad.gatekeeper}")
        known_routes = [route.name for route in self.routes] or ["look up"]
        for n, customer in enumerate(self.customers):
            if customer.route not in known_routes:
                raise ValueError(f"customers[{n}]: no route {customer.route!r}")
        for n, step in enumerate(self.faults):
            if step.target == "counter" or step.target.startswith("counter:"):
                face = step.target.partition(":")[2]
                if face and not (face.isdigit() and int(face) < self.gatekeepers):
                    raise ValueError(f"faults[{n}]: no gatekeeper {face!r} to see the counter")
                known = COUNTER_FAULTS
            elif step.target.startswith("discovery:"):
                if step.target.partition(":")[2] not in names:
                    raise ValueError(f"faults[{n}]: discovery knows no worker {step.target[10:]!r}")
                known = DISCOVERY_FAULTS
            elif step.target.partition(":")[0] in ("gatekeeper", "planner"):
                kind, _, number = step.target.partition(":")
                if not (number.isdigit() and int(number) < getattr(self, kind + "s")):
                    raise ValueError(f"faults[{n}]: no {kind} {number!r}")
                known = GATEKEEPER_FAULTS if kind == "gatekeeper" else PLANNER_FAULTS
                if step.fault == "starve" and not self.event_cost_ms:
                    raise ValueError(f"faults[{n}]: starve needs event_cost_ms")
            elif step.target == "registry":
                if self.registry != "eureka":
                    raise ValueError(f"faults[{n}]: there is no Eureka registry")
                known = REGISTRY_FAULTS
            elif step.target in names:
                known = tuple(fault.value for fault in Fault) + ("restart",)
            else:
                raise ValueError(f"faults[{n}]: no target {step.target!r}")
            if step.fault not in known:
                raise ValueError(f"faults[{n}]: {step.target} knows no fault {step.fault!r}")
        return self

    def expected_reqs(self):
        """Reqs the load tool will send, on average, over the whole run."""
        total = 0.0
        for customer in self.customers:
            total += customer.rate * self.duration
            total += sum(customer.rate * (b.factor - 1) * b.length for b in customer.bursts)
        return total


def parse_scenario(text, where="scenario"):
    """A Scenario from TOML text; BadScenario names `where`, the line of a TOML error, or the pydantic
    field."""
    try:
        told = tomllib.loads(text)
    except tomllib.TOMLDecodeError as why:
        raise BadScenario(f"{where}: {why}") from None
    return parse_told(told, where)


def parse_told(told, where="scenario"):
    """A Scenario from what a TOML file held (a dict); BadScenario names `where` and the field at fault."""
    try:
        scenario = Scenario.model_validate(told)
    except ValidationError as why:
        first = why.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "(top)"
        raise BadScenario(f"{where}: {field}: {first['msg']}") from None
    if scenario.expected_reqs() > scenario.most_reqs:
        raise BadScenario(f"{where}: about {scenario.expected_reqs():.0f} reqs, more than most_reqs")
    return scenario


def load_scenario(path):
    """A Scenario from a file, or from a shipped one by name (`calm`, `worker-trouble`, ...)."""
    path = Path(path)
    if not path.exists() and (SHIPPED / f"{path.name}.toml").exists():
        path = SHIPPED / f"{path.name}.toml"
    try:
        text = path.read_text()
    except OSError as why:
        raise BadScenario(f"{path}: {why.strerror}") from None
    return parse_scenario(text, str(path))


def single(scenario):
    """The same scenario with gatekeepers in place of forwarders and planners, without the planners' faults."""
    operator = {name: told for name, told in (scenario.operator or {}).items() if name not in ("forwarder", "planner")}
    return scenario.model_copy(
        update={
            "planners": 0,
            "operator": operator or None,
            "faults": tuple(step for step in scenario.faults if not step.target.startswith("planner:")),
        }
    )


def shipped():
    """Names and first lines of the scenarios that come with the program."""
    return [(path.stem, path.read_text().splitlines()[0].lstrip("# ")) for path in sorted(SHIPPED.glob("*.toml"))]
