"""Measures what one more route, tenant, worker, gateway or change costs each part: bytes told, bytes held, time. Hollow
gateways (their decisions without sockets) share this process. The figures stand in docs/CAPACITY.md."""

import json
import tracemalloc
from random import Random
from time import perf_counter
from types import SimpleNamespace

from ..interface import End
from ..workers import Outcome
from .common.messages import (
    NO_VERSION,
    ConfigurationUpdate,
    Count,
    GatewayAddress,
    GatewayHeartbeat,
    HeartbeatReply,
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
from .data_plane import events
from .data_plane.counter import CounterTable
from .data_plane.quota import QuotaClient
from .data_plane.router import RequestRouter
from .data_plane.routes import Routes

ROUNDS = 200


def timed(call, rounds=ROUNDS):
    """Microseconds of one call."""
    began = perf_counter()
    for _ in range(rounds):
        call()
    return 1e6 * (perf_counter() - began) / rounds


def held(make):
    """(what was made, bytes that it holds)."""
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


def example_configuration(routes, tenants, services=4):
    """A configuration as operators send it, JSON bytes; routes over a host for each 50."""
    names = [f"svc{number:04d}" for number in range(services)]
    return json.dumps(
        {
            "ver": "00000007",
            "svcs": [{"name": name, "coldS": 3.0, "coldRateS": 10.0, "maxConns": 100} for name in names],
            "accounts": [
                {
                    "name": f"tenant{number}",
                    "apikeys": [f"key{number:08d}a", f"key{number:08d}b"],
                    "prio": 1,
                    "ratePerS": 100,
                    "burstMax": 100,
                    "homeRegions": [],
                }
                for number in range(tenants)
            ],
            "vhosts": [
                {
                    "host": f"h{first}.example",
                    "paths": [
                        {
                            "name": f"r{number}",
                            "prefix": f"/p{number}/",
                            "kind": "idempotent",
                            "timeoutS": 2,
                            "targetS": 0.5,
                            "prio": 1,
                            "svc": names[number % services],
                            "tries": 2,
                            "public": False,
                            "homeRegions": [],
                        }
                        for number in range(first, min(routes, first + 50))
                    ],
                }
                for first in range(0, routes, 50)
            ],
        }
    ).encode()


def registry(workers, gateways, services=4):
    return (
        {
            f"i-{number:08x}": Worker(
                f"i-{number:08x}",
                f"svc{number % services:04d}",
                f"10.1.{number >> 8}.{number & 255}:8080",
                f"z{number % 6}",
                6,
                False,
            )
            for number in range(workers)
        },
        {
            f"edge-{number}": GatewayAddress(
                f"edge-{number}",
                f"10.0.{number >> 8}.{number & 255}",
                f"z{number % 6}",
                "r",
                f"10.0.{number >> 8}.{number & 255}:80",
                True,
            )
            for number in range(gateways)
        },
    )


def of_configuration(routes, tenants):
    body = example_configuration(routes, tenants)
    id, told = configuration.read(body)
    plan = configuration.plan_of(id, told)
    sent = encode(ConfigurationUpdate(1, plan, []))
    (made, size) = held(lambda: Routes(decode_configuration_update(sent).plan))
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


def of_registry(workers, gateways):
    told = registry(workers, gateways)
    leader = Registry()
    leader.write(1, *told)
    snapshot = encode(leader.since(NO_VERSION, 0.0))
    _, size = held(lambda: decode_registry_update(snapshot))
    version, changed = leader.version, dict(told[0])
    changed["i-00000000"] = Worker("i-00000000", "svc0000", "10.1.0.0:8080", "z0", 6, True)
    write = timed(lambda: leader.write(1, *told), 20)
    leader.write(1, changed, told[1])
    settings = SimpleNamespace(
        node="edge-0",
        zone="z0",
        region="r",
        zones={f"z{n}": "r" for n in range(6)},
        bound=lambda name, default: default,
    )
    router = RequestRouter(0.0, settings, 1)
    router.step(0.0, events.RegistryChanged(RegistryUpdate(NO_VERSION, (1, 1), *told, 0.0)))
    return {
        "workers": workers,
        "gateways": gateways,
        "snapshot_bytes": len(snapshot),
        "held_bytes": size,
        "change_bytes": len(encode(leader.since(version, 0.0))),
        "write_us": write,
        "sort_us": timed(lambda: router.endpoints.update_registry(0.0, *told), 5),
    }


def of_request(workers, gateways, tenants):
    """One request through the decisions: routed, counted elsewhere, sent, answered."""
    settings = SimpleNamespace(
        node="edge-0",
        zone="z0",
        region="r",
        zones={f"z{n}": "r" for n in range(6)},
        bound=lambda name, default: default,
    )
    router, state = RequestRouter(0.0, settings, 1), SimpleNamespace(number=0, now=0.0)
    router.step(
        0.0,
        events.ConfigurationChanged(
            ConfigurationUpdate(1, configuration.plan_of(*configuration.read(example_configuration(50, tenants))), [])
        ),
    )
    router.step(0.0, events.RegistryChanged(RegistryUpdate(NO_VERSION, (1, 1), *registry(workers, gateways), 0.0)))

    def request():
        state.number, state.now = state.number + 1, state.now + 0.05
        orders = router.step(
            state.now, events.RequestArrived(state.number, "GET", "h0.example", "/p7/x", "key00000001a", 2.0)
        )
        count = orders[0].count
        (send,) = router.step(
            state.now, events.CountAnswered(Total(count.request_id, 1, count.counter, 1, 0.0, 1.0, 0.5, NO_VERSION))
        )
        router.step(state.now, Outcome(state.number, 0, send.worker, End.PASSED, 100, b"", (), 200))
        router.step(state.now, events.Tick())

    return {"workers of the service": workers // 4, "gateways": gateways, "request_us": timed(request, 500)}


def of_counts(tenants):
    ledger, quota, chance = CounterTable("c", 1), QuotaClient("edge-0", 1), Random(1)
    quotas = [Tenant(f"t{number}", None, 100.0, 100.0, []) for number in range(tenants)]

    def add():
        count, _ = quota.request_add(0.0, chance.choice(quotas), "c", NO_VERSION, None)
        return ledger.add(0.0, count, NO_VERSION)

    def fill():
        for tenant in quotas:
            ledger.add(0.0, quota.request_add(0.0, tenant, "c", NO_VERSION, None)[0], NO_VERSION)

    _, size = held(fill)
    return {"tenants": tenants, "held_bytes": size, "add_us": timed(add, 500)}


def of_watch(gateways):
    watch, hellos = Discovery(0.0, {}, 40.0), []
    for node, gateway in registry(0, gateways)[1].items():
        hellos.append(
            GatewayHeartbeat(node, 1, gateway.ip, gateway.zone, gateway.region, gateway.front, True, False, 5, (3, 9))
        )
    _, size = held(lambda: [watch.record_heartbeat(0.0, heartbeat) for heartbeat in hellos])
    seen = watch.gateways(0.1)
    return {
        "gateways": gateways,
        "held_bytes": size,
        "heard_us": timed(lambda: watch.record_heartbeat(0.0, hellos[0])),
        "gateways_us": timed(lambda: watch.gateways(0.1), 20),
        "resolve_us": timed(lambda: watch.resolve(0.1, "z1", "r", seen), 20),
    }


def of_control_state(voters, zones):
    """One replica among `voters`, with an order about each of `zones`: what its messages take, and a heartbeat heard."""
    members = tuple(Member(f"10.{number}.0.11", 1 << 47) for number in range(voters))
    orders = tuple(ZoneEvacuation(f"zone-{number:02d}", 1, True) for number in range(zones))
    id = ConfigurationId(12, 1 << 62)
    state = ControlState(1000, id, (id,) * MAX_RECENT_CONFIGURATIONS, orders, 3, members, (), 40, 1 << 47)
    proposal_number = ProposalNumber(9000, 1 << 47)
    settings = ReplicaSettings("core-1", members[0].ip, True, (), voters // 2)
    replica = Replica(0.0, settings, 1, Vote(members[0], proposal_number, proposal_number, state), {id: b"{}"})
    beats = [_replica_heartbeat(member, proposal_number, number) for number, member in enumerate(members[1:])]
    replica.step(0.0, MessageReceived(members[1].ip, Decision(proposal_number, state)))

    def hear():
        for beat in beats:
            replica.step(0.0, MessageReceived(beat.member.ip, beat))

    return {
        "voters": voters,
        "zones": zones,
        "heartbeat_bytes": len(encode_message(beats[0])) if beats else 0,
        "accept_bytes": len(encode_message(Accept(proposal_number, state))),
        "heard_us": timed(hear, 50) / max(1, len(beats)),
    }


def _replica_heartbeat(member, proposal_number, number):
    return ReplicaHeartbeat(
        f"core-{number}",
        member,
        1 << 47,
        999,
        1 << 47,
        999,
        proposal_number,
        proposal_number,
        1000,
        True,
        True,
        False,
        False,
        (40, 99),
    )


def main():
    """Prints one line of JSON for each part and size, with what one datagram of each kind takes."""
    replicas = [f"10.0.0.{number}" for number in range(3)]
    heartbeat = GatewayHeartbeat(
        "edge-bsas-sanelmo-1",
        1 << 47,
        "10.1.0.13",
        "bsas-sanelmo",
        "region-bsas",
        "10.1.0.13:8388",
        True,
        False,
        12,
        (3, 9),
    )
    sizes = {
        "GatewayHeartbeat": heartbeat,
        "HeartbeatReply": HeartbeatReply("core-bsas-sanelmo-1", replicas, 12, (3, 9)),
        "Count": Count(99999, "edge-bsas-sanelmo-1", 1 << 47, 1 << 31, "huka270", 1.05, 126.0, 1.0, 0.0, 50.5, (3, 9)),
        "Total": Total(99999, 1 << 47, 1 << 31, 1 << 47, 50.0, 60.0, 0.25, (3, 9)),
        "PeerNotice": PeerNotice("edge-1", "10.1.0.13", 12, (3, 9)),
    }
    print(json.dumps({"datagram_bytes": {name: len(encode(message)) for name, message in sizes.items()}}))
    for routes, tenants in ((50, 10), (500, 10), (4200, 10), (50, 1000), (50, 20000)):
        print(json.dumps({"configuration": of_configuration(routes, tenants)}))
    for workers, gateways in ((36, 9), (142, 86), (1600, 86), (1600, 640)):
        print(json.dumps({"registry": of_registry(workers, gateways)}))
    for workers, gateways in ((36, 9), (142, 86), (1600, 640)):
        print(json.dumps({"request": of_request(workers, gateways, 8)}))
    for tenants in 10, 1000, 20000:
        print(json.dumps({"counts": of_counts(tenants)}))
    for gateways in 9, 86, 640:
        print(json.dumps({"watch": of_watch(gateways)}))
    for voters, zones in ((3, 0), (5, 9), (11, 79)):
        print(json.dumps({"control_state": of_control_state(voters, zones)}))
