"""Measures what one more route, tenant, worker, gateway or change costs each part: bytes sent, bytes in memory, time.

The cores run without sockets in this process. The figures stand in docs/CAPACITY.md; times are microseconds.
"""

import json
import tracemalloc
from collections.abc import Callable, Mapping
from random import Random
from time import perf_counter
from types import SimpleNamespace
from typing import Any, TypeVar

from ..interface import End
from ..workers import Outcome
from .common.messages import (
    NO_VERSION,
    ConfigurationUpdate,
    Count,
    GatewayAddress,
    GatewayHeartbeat,
    HeartbeatReply,
    Message,
    PeerNotice,
    RegistryUpdate,
    Tenant,
    Total,
    Worker,
    decode_configuration_update,
    decode_registry_update,
    encode,
)
from .common.registry import Registry
from .control_plane import configuration
from .control_plane.discovery import Discovery
from .control_plane.events import MessageReceived
from .control_plane.messages import Accept, Decision, ReplicaHeartbeat, encode as encode_message
from .control_plane.replica import Replica
from .control_plane.replica_context import ReplicaSettings
from .control_plane.state import (
    MAX_RECENT_CONFIGURATIONS,
    ConfigurationId,
    ControlState,
    Member,
    ProposalNumber,
    Vote,
    ZoneEvacuation,
)
from .data_plane.commands import ForwardRequest, SendCount
from .data_plane.counter import CounterTable
from .data_plane.events import ConfigurationChanged, CountAnswered, RegistryChanged, RequestArrived, Tick
from .data_plane.quota import QuotaClient
from .data_plane.router import RequestRouter
from .data_plane.routes import Routes

ROUNDS = 200
SERVICES, ZONES = 4, 6
ROUTES_PER_HOST = 50
T = TypeVar("T")
Row = dict[str, float]


def timed(call: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Microseconds of one call."""
    began = perf_counter()
    for _ in range(rounds):
        call()
    return 1e6 * (perf_counter() - began) / rounds


def memory_of(make: Callable[[], T]) -> tuple[T, int]:
    """(what was made, bytes of memory that it takes)."""
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


# Examples ------------------------------------------------------------------------------------------------------------


def _service_names() -> list[str]:
    return [f"svc{index:04d}" for index in range(SERVICES)]


def _account(index: int) -> dict[str, Any]:
    return {
        "name": f"tenant{index}",
        "apikeys": [f"key{index:08d}a", f"key{index:08d}b"],
        "prio": 1,
        "ratePerS": 100,
        "burstMax": 100,
        "homeRegions": [],
    }


def _path(index: int) -> dict[str, Any]:
    return {
        "name": f"r{index}",
        "prefix": f"/p{index}/",
        "kind": "idempotent",
        "timeoutS": 2,
        "targetS": 0.5,
        "prio": 1,
        "svc": _service_names()[index % SERVICES],
        "tries": 2,
        "public": False,
        "homeRegions": [],
    }


def example_configuration(routes: int, tenants: int) -> bytes:
    """A configuration as operators send it."""
    services = [{"name": name, "coldS": 3.0, "coldRateS": 10.0, "maxConns": 100} for name in _service_names()]
    vhosts = [
        {
            "host": f"h{first}.example",
            "paths": [_path(index) for index in range(first, min(routes, first + ROUTES_PER_HOST))],
        }
        for first in range(0, routes, ROUTES_PER_HOST)
    ]
    accounts = [_account(index) for index in range(tenants)]
    return json.dumps({"ver": "00000007", "svcs": services, "accounts": accounts, "vhosts": vhosts}).encode()


def example_workers(count: int) -> dict[str, Worker]:
    """Workers by id."""
    return {
        f"i-{index:08x}": Worker(
            f"i-{index:08x}",
            f"svc{index % SERVICES:04d}",
            f"10.1.{index >> 8}.{index & 255}:8080",
            f"z{index % ZONES}",
            6,
            False,
        )
        for index in range(count)
    }


def example_gateways(count: int) -> dict[str, GatewayAddress]:
    """Gateways by node."""
    return {
        f"edge-{index}": GatewayAddress(
            f"edge-{index}",
            f"10.0.{index >> 8}.{index & 255}",
            f"z{index % ZONES}",
            "r",
            f"10.0.{index >> 8}.{index & 255}:80",
            True,
        )
        for index in range(count)
    }


def _router() -> RequestRouter:
    settings: Any = SimpleNamespace(
        node="edge-0",
        zone="z0",
        region="r",
        zones={f"z{index}": "r" for index in range(ZONES)},
        bound=lambda name, default: default,
    )
    return RequestRouter(0.0, settings, 1)


def _snapshot(workers: Mapping[str, Worker], gateways: Mapping[str, GatewayAddress]) -> RegistryChanged:
    return RegistryChanged(RegistryUpdate(NO_VERSION, (1, 1), dict(workers), dict(gateways), 0.0))


# Measurements --------------------------------------------------------------------------------------------------------


def of_configuration(routes: int, tenants: int) -> Row:
    """One configuration: checked at a control plane, sent to a gateway, looked up there."""
    body = example_configuration(routes, tenants)
    plan = configuration.plan_of(*configuration.read(body))
    sent = encode(ConfigurationUpdate(1, plan, []))
    made, size = memory_of(lambda: Routes(decode_configuration_update(sent).plan or plan))
    return {
        "routes": routes,
        "tenants": tenants,
        "json_bytes": len(body),
        "plan_bytes": len(sent),
        "held_bytes": size,
        "check_us": timed(lambda: configuration.plan_of(*configuration.read(body)), 3),
        "decode_us": timed(lambda: decode_configuration_update(sent), 5),
        "find_us": timed(lambda: made.find("h0.example", "/p7/x")),
        "key_us": timed(lambda: made.tenant("key00000001a")),
    }


def of_registry(workers: int, gateways: int) -> Row:
    """The registry: written, sent whole and as a change, sorted by a gateway."""
    listed, addresses = example_workers(workers), example_gateways(gateways)
    leader = Registry()
    leader.write(1, listed, addresses)
    snapshot = encode(leader.since(NO_VERSION, 0.0))
    _, size = memory_of(lambda: decode_registry_update(snapshot))
    version, changed = leader.version, dict(listed)
    changed["i-00000000"] = Worker("i-00000000", "svc0000", "10.1.0.0:8080", "z0", 6, True)
    write = timed(lambda: leader.write(1, listed, addresses), 20)
    leader.write(1, changed, addresses)
    router = _router()
    router.step(0.0, _snapshot(listed, addresses))
    return {
        "workers": workers,
        "gateways": gateways,
        "snapshot_bytes": len(snapshot),
        "held_bytes": size,
        "change_bytes": len(encode(leader.since(version, 0.0))),
        "write_us": write,
        "sort_us": timed(lambda: router.endpoints.update_registry(0.0, listed, addresses), 5),
    }


class _RequestPlayer:
    """Plays requests through the decisions of one gateway: routed, counted elsewhere, forwarded, answered."""

    def __init__(self, workers: int, gateways: int, tenants: int) -> None:
        self.router, self.number, self.now = _router(), 0, 0.0
        plan = configuration.plan_of(*configuration.read(example_configuration(ROUTES_PER_HOST, tenants)))
        self.router.step(0.0, ConfigurationChanged(ConfigurationUpdate(1, plan, [])))
        self.router.step(0.0, _snapshot(example_workers(workers), example_gateways(gateways)))

    def play(self) -> None:
        """One request."""
        self.number, self.now = self.number + 1, self.now + 0.05
        arrival = RequestArrived(self.number, "GET", "h0.example", "/p7/x", "key00000001a", 2.0)
        commands = self.router.step(self.now, arrival)
        assert isinstance(commands[0], SendCount)
        count = commands[0].count
        total = Total(count.request_id, 1, count.counter, 1, 0.0, 1.0, 0.5, NO_VERSION)
        (forward,) = self.router.step(self.now, CountAnswered(total))
        assert isinstance(forward, ForwardRequest)
        self.router.step(self.now, Outcome(self.number, 0, forward.worker, End.PASSED, 100, b"", (), 200))
        self.router.step(self.now, Tick())


def of_request(workers: int, gateways: int, tenants: int) -> Row:
    """One request through the decisions of a gateway."""
    player = _RequestPlayer(workers, gateways, tenants)
    return {
        "workers of the service": workers // SERVICES,
        "gateways": gateways,
        "request_us": timed(player.play, 500),
    }


def of_counts(tenants: int) -> Row:
    """The counter gateway's side of quotas."""
    counter, quota, chance = CounterTable("c", 1), QuotaClient("edge-0", 1), Random(1)
    quotas = [Tenant(f"t{index}", None, 100.0, 100.0, []) for index in range(tenants)]
    waiting: Any = None  # no request waits for these

    def add(tenant: Tenant) -> None:
        counter.add(0.0, quota.request_add(0.0, tenant, "c", NO_VERSION, waiting).message, NO_VERSION)

    def fill() -> None:
        for tenant in quotas:
            add(tenant)

    _, size = memory_of(fill)
    return {"tenants": tenants, "held_bytes": size, "add_us": timed(lambda: add(chance.choice(quotas)), 500)}


def of_watch(gateways: int) -> Row:
    """A control plane that watches gateways and answers clients."""
    discovery = Discovery(0.0, {}, 40.0)
    heartbeats = [
        GatewayHeartbeat(node, 1, gateway.ip, gateway.zone, gateway.region, gateway.front, True, False, 5, (3, 9))
        for node, gateway in example_gateways(gateways).items()
    ]

    def receive_all() -> None:
        for heartbeat in heartbeats:
            discovery.record_heartbeat(0.0, heartbeat)

    _, size = memory_of(receive_all)
    known = discovery.gateways(0.1)
    return {
        "gateways": gateways,
        "held_bytes": size,
        "heard_us": timed(lambda: discovery.record_heartbeat(0.0, heartbeats[0])),
        "gateways_us": timed(lambda: discovery.gateways(0.1), 20),
        "resolve_us": timed(lambda: discovery.resolve(0.1, "z1", "r", known), 20),
    }


def of_control_state(voters: int, zones: int) -> Row:
    """One replica among `voters`, with an evacuation of each of `zones`: what its messages take, and a heartbeat received."""
    members = tuple(Member(f"10.{index}.0.11", 1 << 47) for index in range(voters))
    evacuations = tuple(ZoneEvacuation(f"zone-{index:02d}", 1, True) for index in range(zones))
    id = ConfigurationId(12, 1 << 62)
    recent = (id,) * MAX_RECENT_CONFIGURATIONS
    state = ControlState(1000, id, recent, evacuations, 3, members, (), 40, 1 << 47)
    number = ProposalNumber(9000, 1 << 47)
    settings = ReplicaSettings("core-1", members[0].ip, True, (), voters // 2)
    replica = Replica(0.0, settings, 1, Vote(members[0], number, number, state), {id: b"{}"})
    heartbeats = [_replica_heartbeat(member, number, index) for index, member in enumerate(members[1:])]
    replica.step(0.0, MessageReceived(members[1].ip, Decision(number, state)))

    def receive() -> None:
        for heartbeat in heartbeats:
            replica.step(0.0, MessageReceived(heartbeat.member.ip, heartbeat))

    return {
        "voters": voters,
        "zones": zones,
        "heartbeat_bytes": len(encode_message(heartbeats[0])) if heartbeats else 0,
        "accept_bytes": len(encode_message(Accept(number, state))),
        "heard_us": timed(receive, 50) / max(1, len(heartbeats)),
    }


def _replica_heartbeat(member: Member, number: ProposalNumber, index: int) -> ReplicaHeartbeat:
    return ReplicaHeartbeat(
        node=f"core-{index}",
        member=member,
        incarnation=1 << 47,
        sequence=999,
        acknowledged_incarnation=1 << 47,
        acknowledged=999,
        accepted=number,
        decided=number,
        revision=1000,
        ready=True,
        votes=True,
        draining=False,
        holds_lease=False,
        registry=(40, 99),
    )


def datagram_sizes() -> dict[str, int]:
    """Bytes of one datagram of each kind."""
    node, front = "edge-bsas-sanelmo-1", "10.1.0.13:8388"
    replicas = [f"10.0.0.{index}" for index in range(3)]
    examples: tuple[Message, ...] = (
        GatewayHeartbeat(node, 1 << 47, "10.1.0.13", "bsas-sanelmo", "region-bsas", front, True, False, 12, (3, 9)),
        HeartbeatReply("core-bsas-sanelmo-1", replicas, 12, (3, 9)),
        Count(99999, node, 1 << 47, 1 << 31, "huka270", 1.05, 126.0, 1.0, 0.0, 50.5, (3, 9)),
        Total(99999, 1 << 47, 1 << 31, 1 << 47, 50.0, 60.0, 0.25, (3, 9)),
        PeerNotice("edge-1", "10.1.0.13", 12, (3, 9)),
    )
    return {type(message).__name__: len(encode(message)) for message in examples}


def main() -> None:
    """Prints one line of JSON for each part and size."""
    rows: list[tuple[str, Mapping[str, float]]] = [("datagram_bytes", datagram_sizes())]
    for routes, tenants in ((50, 10), (500, 10), (4200, 10), (50, 1000), (50, 20000)):
        rows.append(("configuration", of_configuration(routes, tenants)))
    for workers, gateways in ((36, 9), (142, 86), (1600, 86), (1600, 640)):
        rows.append(("registry", of_registry(workers, gateways)))
    for workers, gateways in ((36, 9), (142, 86), (1600, 640)):
        rows.append(("request", of_request(workers, gateways, 8)))
    rows += [("counts", of_counts(tenants)) for tenants in (10, 1000, 20000)]
    rows += [("watch", of_watch(gateways)) for gateways in (9, 86, 640)]
    rows += [("control_state", of_control_state(voters, zones)) for voters, zones in ((3, 0), (5, 9), (11, 79))]
    for part, row in rows:
        print(json.dumps({part: row}))
