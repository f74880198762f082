"""The operator's own file: settings of what the platform's configuration does not know, each part off unless the file
has its section. TOML (or JSON, by its ending), checked with pydantic; a bad field is named with its place. Loaded
only where a file is given, so that the gatekeeper on the platform starts without pydantic.

    [recovery]               # quotas through trouble of the shared counter (docs/counter-trouble.md)
    fleet = 20               # gatekeepers when all is well; left out: learned, the most seen
    beat_s = 1.0
    missing_hold_s = 60.0
"""

import json
import tomllib
from dataclasses import replace
from datetime import datetime
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from ..lateness import LatenessSettings
from ..plan.shape import forwarder_settings
from ..recovery import Recovery, RecoverySettings
from .machines import address
from .read import BadSettings

LARGEST = 1 << 20  # bytes of a file


class Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class RecoverySection(Section):
    """`beat_s`: between two adds to the witness; `missing_hold_s`: how long a fleet seen smaller counts as split, not
    as gatekeepers gone; `window`: beats over which it is counted; `pushes`: names brought back a beat at most."""

    fleet: int = Field(default=0, ge=0, le=100_000)
    beat_s: float = Field(default=1.0, ge=0.2, le=10.0)
    missing_hold_s: float = Field(default=60.0, ge=0.0, le=3600.0)
    window: int = Field(default=3, ge=2, le=20)
    pushes: int = Field(default=32, ge=1, le=10_000)
    names: int = Field(default=20_000, ge=100, le=1_000_000)

    def settings(self):
        """As the model takes them."""
        return RecoverySettings(
            self.fleet,
            int(self.beat_s * 10_000),
            int(self.missing_hold_s * 10_000),
            self.pushes,
            self.names,
            self.window,
        )


Address = Annotated[str, Field(pattern=r"^[^\s/]+:[0-9]{1,5}$")]


class LatenessSection(Section):
    """Denials for the program's own lateness (docs/overload.md); as `LatenessSettings`."""

    begin: float = Field(default=0.2, gt=0.0, lt=1.0)
    full: float = Field(default=0.7, gt=0.0, le=1.0)

    @model_validator(mode="after")
    def _in_order(self):
        if self.full <= self.begin:
            raise BadSettings("full is not above begin")
        return self

    def settings(self):
        return LatenessSettings(begin=self.begin, full=self.full)


class ForwarderSection(Section):
    """`planners`: addresses; `forwarders`: how many there are in all (0: the settings' gatekeepers); `fallback`: the
    part of a limit that all together may pass while no planner answers; `lease_s`: after which unspent units go back."""

    planners: tuple[Address, ...] = Field(min_length=1, max_length=64)
    forwarders: int = Field(default=0, ge=0, le=100_000)
    fallback: float = Field(default=0.25, ge=0.0, le=1.0)
    lease_s: float = Field(default=2.0, ge=0.05, le=10.0)

    @field_validator("planners")
    @classmethod
    def _each_once(cls, planners):
        for planner in planners:
            address(planner)
        if len(dict.fromkeys(planners)) < len(planners):
            raise BadSettings("a planner is named twice")
        return planners

    def settings(self, config):
        return forwarder_settings(
            config.settings,
            config.name,
            self.planners,
            self.forwarders or config.settings.gatekeepers,
            self.fallback,
            int(self.lease_s * 10_000),
        )


class PlannerSection(Section):
    """`lease_s`: for how long units are granted at most. With `[recovery]` in the file a planner mends what its counter
    tells, as a gatekeeper does; its fleet are the planners."""

    lease_s: float = Field(default=2.0, ge=0.05, le=10.0)


class EurekaSection(Section):
    """Workers from a Eureka registry (docs/eureka.md). `url`: up to `/apps`; `apps`: whose instances are workers (empty:
    all); `poll_s`: between two calls, well under the cutoff of a drain; the rest as `TrustSettings`."""

    url: str = Field(pattern=r"^http://[^\s?#]+$")
    apps: tuple[str, ...] = ()
    poll_s: float = Field(default=0.25, ge=0.05, le=0.4)
    timeout_s: float = Field(default=2.0, ge=0.1, le=30.0)
    keep_s: float = Field(default=3600.0, ge=0.0, le=7 * 86400.0)
    mass_share: float = Field(default=0.34, gt=0.0, le=1.0)
    mass_hold_s: float = Field(default=120.0, ge=0.0, le=3600.0)
    zone_key: str = "zone"
    cell_key: str = "cell"
    body: Literal["json", "xml"] = "json"

    def trust(self):
        from ..discovery.eureka import TrustSettings

        return TrustSettings(
            tuple(app.upper() for app in self.apps), self.keep_s, self.mass_share, mass_hold=self.mass_hold_s
        )

    def watch(self, zones, report, counts):
        """The watch that stands in the place of the platform's discovery."""
        from ..discovery.eureka import EurekaWatch

        return EurekaWatch(
            self.url,
            self.poll_s,
            self.timeout_s,
            self.trust(),
            zones,
            report,
            counts,
            (self.zone_key, self.cell_key),
            self.body,
        )


class Unmatched(Section):
    """What a req that matches no operation counts as."""

    frontend: str = Field(alias="class", min_length=1)
    units: float = Field(gt=0)


class RoutesSection(Section):
    """`file`: the OpenAPI description, from the operator's file where it is no absolute path; `unmatched`: else a req
    that it does not know gets 404."""

    file: str = Field(min_length=1)
    unmatched: Unmatched | None = None

    def read(self, config, text=None):
        """The table of the description as it stands now, or of its `text`; BadSettings says what is wrong with it."""
        from ..routes import BadDescription, load_description

        try:
            return load_description(
                self.file, config.frontends, [f.repeat for f in config.settings.frontends], config.limits.units, text
            )
        except BadDescription as why:
            raise BadSettings(why.what, why.where, why.do) from None

    def default(self, config):
        """(frontend, units) of a req that the description does not know, or None."""
        if self.unmatched is None:
            return None
        frontend = config.frontends.get(self.unmatched.frontend)
        if frontend is None or self.unmatched.units > config.limits.units:
            raise BadSettings(f"routes.unmatched: no class {self.unmatched.frontend!r}, or too many units")
        return frontend, self.unmatched.units


class AccordSection(Section):
    """One standing order agreed on by planners (docs/accord.md). `cluster`: a name of theirs; `planners`: the addresses of
    all, in one order everywhere; `store`: a planner's file of votes, from the operator's file where it is no absolute path;
    `me`: a planner's place in the list, where its `listen` is no address of it; `lease_s`: how long an order holds at a
    follower past its confirmation; `skew_s`: how far clocks of any two machines may be apart."""

    cluster: str = Field(pattern=r"^[A-Za-z0-9._-]{1,40}$")
    planners: tuple[Address, ...] = Field(min_length=3, max_length=5)
    store: str = Field(default="votes.sqlite", min_length=1)
    me: int | None = Field(default=None, ge=0, le=4)
    lease_s: float = Field(default=2.0, ge=0.5, le=60.0)
    skew_s: float = Field(default=0.5, ge=0.0, le=60.0)

    @field_validator("planners")
    @classmethod
    def _odd_and_each_once(cls, planners):
        if len(planners) not in (3, 5) or len(set(planners)) < len(planners):
            raise BadSettings("three or five planners, each named once")
        for planner in planners:
            address(planner)
        return planners

    @property
    def lease(self):
        return int(self.lease_s * 10_000)

    @property
    def skew(self):
        return int(self.skew_s * 10_000)

    def follower(self, config):
        """What follows the order in a gatekeeper or forwarder."""
        from ..accord import Follower, FollowerSettings

        return Follower(FollowerSettings(config.name, self.planners, self.lease), config.seed)

    def number(self, config):
        """Which of the planners this one is."""
        mine = "%s:%d" % config.listen
        if self.me is None and mine not in self.planners:
            raise BadSettings(
                f"{mine} is no address of accord.planners",
                "accord.me",
                "name this planner's place in the list (0 for the first), or its address in the list",
            )
        me = self.planners.index(mine) if self.me is None else self.me
        if me >= len(self.planners):
            raise BadSettings(f"there is no planner {me}", "accord.me", f"0 to {len(self.planners) - 1}")
        return me

    def planner(self, config, operator, reread):
        """What makes a planner's `AccordNode`; its store is opened at once, so that a bad one is told at start. `reread`
        reads the operator's file again."""
        from secrets import randbits

        from ..accord.node import AccordNode
        from ..accord.planner import PlannerSettings
        from ..accord.store import VoteStore

        me, store = self.number(config), VoteStore(self.store, self.cluster)
        settings = PlannerSettings(me, len(self.planners), randbits(48), self.cluster, self.lease)
        return lambda clock, counts: AccordNode(
            settings, store, self.planners, config.limits.connect, clock, counts, operator.advisers(config), reread
        )


class WindowSection(Section):
    """A freeze window: `start` and `end` in local time of the IANA zone `zone`, once or by `rule` (an RRULE); or `holiday` of
    `country` with whole days `before` and `after`."""

    name: str = Field(min_length=1, max_length=64)
    zone: str
    start: datetime | None = None
    end: datetime | None = None
    rule: str = Field(default="", max_length=500)
    country: str | None = Field(default=None, min_length=2, max_length=2)
    holiday: str | None = Field(default=None, min_length=3, max_length=100)
    before: int = Field(default=0, ge=0, le=60)
    after: int = Field(default=0, ge=0, le=60)

    def window(self):
        from ..freeze.windows import BadWindow, Window

        if (self.country is None) != (self.holiday is None):
            raise BadWindow("a holiday and its country stand together", self.name)
        return Window(
            self.name,
            self.zone,
            self.start,
            self.end,
            self.rule,
            (self.country, self.holiday) if self.holiday else None,
            self.before,
            self.after,
        )


class ExceptionSection(Section):
    """A change that may be made in a window, where a majority of planners declares it. `until`: with its offset from UTC."""

    window: str
    digest: str = Field(pattern=r"^[0-9a-f]{24}$")
    reason: str = Field(min_length=3, max_length=500)
    until: AwareDatetime


class FreezeSection(Section):
    """Agreed configurations and freeze windows (docs/freeze.md); needs `[accord]`. `kept`: the folder where an instance keeps
    what was agreed; `covers`: what a configuration's digest is of; `within_s`: how long all instances may take to be handed a
    change."""

    kept: str = Field(min_length=1)
    covers: tuple[Literal["settings", "addresses", "operator", "routes"], ...] = (
        "settings",
        "addresses",
        "operator",
        "routes",
    )
    within_s: float = Field(default=60.0, ge=1.0, le=86_400.0)
    windows: tuple[WindowSection, ...] = Field(default=(), max_length=200)
    exceptions: tuple[ExceptionSection, ...] = Field(default=(), max_length=200)

    def made(self, skew):
        """The `Windows`; BadSettings names the one that cannot be."""
        from ..freeze.windows import BadWindow, Exemption, Windows

        try:
            return Windows(
                [window.window() for window in self.windows],
                [Exemption(e.window, e.digest, e.reason, e.until.timestamp()) for e in self.exceptions],
                skew,
            )
        except BadWindow as why:
            raise BadSettings(why.what, f"freeze.windows: {why.where}", why.do) from None


class ZonesSection(Section):
    """Failover between zones decided in common (docs/zones.md); needs `[accord]`. The zones are those of the settings.
    `carries`: reqs a second that the workers of each zone carry; with it traffic is kept near while that is safe. `regions`:
    lists of zones."""

    carries: dict[str, Annotated[float, Field(gt=0, le=1e9)]] = {}
    regions: tuple[tuple[str, ...], ...] = ()

    def adviser(self, config):
        from ..zones import ZonesAdviser

        self._known(config)
        return ZonesAdviser(config.machines.zones, self.carries, self.regions)

    def filter(self, config):
        from ..zones import ZoneFilter

        self._known(config)
        return ZoneFilter(config.name, config.settings.gatekeepers, tuple(config.machines.zones), config.settings.zone)

    def _known(self, config):
        named = [*self.carries, *(zone for region in self.regions for zone in region)]
        unknown = [zone for zone in named if zone not in config.machines.zones]
        if unknown:
            raise BadSettings(
                f"the settings know no zone {unknown[0]!r}", "zones", f"one of: {', '.join(config.machines.zones)}"
            )
        told = [zone for region in self.regions for zone in region]
        if len(set(told)) < len(told):
            raise BadSettings("a zone stands in two regions", "zones.regions", "name each zone once")
        if self.carries and len(self.carries) < len(config.machines.zones):
            raise BadSettings("not every zone stands in it", "zones.carries", "tell what each zone carries, or none")


class TenantSection(Section):
    """A tenant: the customers named, and all of the plans named; `guaranteed` and `cap` in units a second (cap 0: none)."""

    name: str = Field(min_length=1, max_length=64)
    weight: float = Field(default=1.0, gt=0, le=1e6)
    guaranteed: float = Field(default=0.0, ge=0, le=1e9)
    cap: float = Field(default=0.0, ge=0, le=1e9)
    customers: tuple[Annotated[str, Field(pattern=r"^[0-9A-Fa-f]{16}$")], ...] = Field(default=(), max_length=10_000)
    plans: tuple[str, ...] = ()


class SharesSection(Section):
    """Weighted max-min shares among tenants (docs/shares.md); needs `[accord]`. `zones`: units a second that each zone's workers
    carry; `edge`: that one edge passes; `edges`: how many there may be in a zone (0: the settings' gatekeepers); `floor`: the part
    set aside for edges that hear no order. Customers of no tenant are one more, `others`, of weight `others`."""

    zones: dict[str, Annotated[float, Field(gt=0, le=1e9)]] = Field(min_length=1)
    edge: float = Field(gt=0, le=1e9)
    edges: int = Field(default=0, ge=0, le=100_000)
    floor: float = Field(default=0.05, gt=0.0, lt=1.0)
    others: float = Field(default=1.0, gt=0, le=1e6)
    tenants: tuple[TenantSection, ...] = Field(default=(), max_length=200)

    @model_validator(mode="after")
    def _fits(self):
        names = [tenant.name for tenant in self.tenants]
        if len({*names, "others"}) <= len(names):
            raise BadSettings("two tenants have one name, or one is called others")
        for kind in ("customers", "plans"):
            told = [one.lower() for tenant in self.tenants for one in getattr(tenant, kind)]
            if len(set(told)) < len(told):
                raise BadSettings(f"two tenants have the same of {kind}")
        if sum(tenant.guaranteed for tenant in self.tenants) > (1 - self.floor) * sum(self.zones.values()):
            raise BadSettings("more is guaranteed than all zones carry beside the floor")
        if any(tenant.cap and tenant.cap < tenant.guaranteed for tenant in self.tenants):
            raise BadSettings("a cap is below what is guaranteed")
        return self

    def settings(self, config):
        from ..shares import SharesSettings, Tenant

        unknown = [zone for zone in self.zones if zone not in config.machines.zones]
        if unknown:
            raise BadSettings(
                f"the settings know no zone {unknown[0]!r}",
                "shares.zones",
                f"one of: {', '.join(config.machines.zones)}",
            )
        tenants = [Tenant(t.name, t.weight, t.guaranteed, t.cap) for t in self.tenants]
        return SharesSettings(
            (*tenants, Tenant("others", self.others)),
            dict(self.zones),
            self.edge,
            self.edges or config.settings.gatekeepers,
            self.floor,
        )

    def share(self, config, follower):
        """What the edge of that configuration lets pass; `follower` says whether an order holds."""
        from ..shares import EdgeShares

        plans = {}
        for tenant in self.tenants:
            for plan in tenant.plans:
                if plan not in config.plans:
                    raise BadSettings(
                        f"the settings know no plan {plan!r}",
                        f"shares.tenants: {tenant.name}",
                        f"one of: {', '.join(config.plans)}",
                    )
                plans[config.plans[plan]] = tenant.name
        customers = {int(customer, 16): tenant.name for tenant in self.tenants for customer in tenant.customers}
        settings, zones = self.settings(config), {number: name for name, number in config.machines.zones.items()}
        zone = zones.get(config.settings.zone)
        if zone not in self.zones:
            raise BadSettings(
                f"this edge's zone {zone!r} has no capacity", "shares.zones", "name every zone that has edges"
            )
        return EdgeShares(
            config.name,
            zone,
            settings.floor_of(zone),
            lambda customer, plan: customers.get(customer) or plans.get(plan, "others"),
            lambda now: follower.holds(now) is not None,
        )


class Operator(Section):
    """The whole file."""

    eureka: EurekaSection | None = None
    routes: RoutesSection | None = None
    lateness: LatenessSection | None = None
    recovery: RecoverySection | None = None
    forwarder: ForwarderSection | None = None
    planner: PlannerSection | None = None
    accord: AccordSection | None = None
    freeze: FreezeSection | None = None
    zones: ZonesSection | None = None
    shares: SharesSection | None = None

    @model_validator(mode="after")
    def _agreed(self):
        for name in ("freeze", "zones", "shares"):
            if getattr(self, name) is not None and self.accord is None:
                raise BadSettings(f"[{name}] needs [accord]: what is agreed is agreed by its planners")
        return self

    def advisers(self, config):
        """What planners make of followers' reports, by the part of the order."""
        told = {}
        if self.zones is not None:
            told["zones"] = self.zones.adviser(config)
        if self.shares is not None:
            from ..shares import SharesAdviser

            told["shares"] = SharesAdviser(self.shares.settings(config), self.accord.lease, self.accord.skew)
        if self.freeze is not None:
            from ..freeze.adviser import FreezeAdviser

            told["config"] = FreezeAdviser(
                self.freeze.made(self.accord.skew_s), len(self.accord.planners), int(self.freeze.within_s * 10_000)
            )
        return told


def read_operator(told, where="operator file"):
    """An Operator from what a file held; BadSettings names `where` and the field at fault."""
    try:
        return Operator.model_validate(told)
    except ValidationError as why:
        first = why.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "(top)"
        raise BadSettings(
            f"{field}: {first['msg']}", where, "mend that field; `fernyard check` reads the file again"
        ) from None


def load_operator(path):
    """The operator's file at `path`; BadSettings says in one line what is wrong with it."""
    path = Path(path)
    try:
        if path.stat().st_size > LARGEST:
            raise BadSettings(f"over {LARGEST} bytes", path, "an operator's file holds settings alone")
        text = path.read_text()
    except OSError as why:
        raise BadSettings(f"cannot be read: {why.strerror}", path, "name a file that this user may read") from None
    except UnicodeDecodeError:
        raise BadSettings("is not UTF-8", path, "write it again as UTF-8") from None
    return parse_operator(text, path)


def parse_operator(text, path):
    """The same of the text that stands, or stood, at `path`."""
    path = Path(path)
    try:
        told = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except ValueError as why:
        raise BadSettings(
            f"is no {'JSON' if path.suffix == '.json' else 'TOML'}: {why}", path, "mend that line"
        ) from None
    # Paths stand as seen from the file.
    for section, field, default in (
        ("routes", "file", None),
        ("accord", "store", "votes.sqlite"),
        ("freeze", "kept", None),
    ):
        part = told.get(section) if isinstance(told, dict) else None
        if isinstance(part, dict) and isinstance(part.get(field, default), str):
            told = {**told, section: {**part, field: str(path.parent / part.get(field, default))}}
    return read_operator(told, str(path))


def planner_recovery(operator, config):
    """A planner's `Recovery`, or None. The planners alone beat on the counter: they are its fleet."""
    if operator is None or operator.recovery is None:
        return None
    fleet = len(operator.forwarder.planners) if operator.forwarder else 0
    return Recovery(replace(operator.recovery.settings(), fleet=fleet), config.seed)
