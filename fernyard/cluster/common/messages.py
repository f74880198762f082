"""What the system's own processes tell each other: msgspec structs, as datagrams and as bodies of HTTP.

A stamp orders configurations: (version, digest). A mark orders registries: (epoch, number). Times are seconds.
"""

import msgspec

NONE = (0, 0)


class Message(msgspec.Struct, array_like=True, tag=True, omit_defaults=True):
    """Base: an array that begins with the name of its kind."""


class Core(msgspec.Struct, array_like=True, frozen=True):
    """A control plane: its name and ip; the internal's port is the same on all machines."""

    node: str
    ip: str


class ReplicaHeartbeat(Message):
    """A control plane tells another what its disk holds. `nonce`: the ask it answers, 0 in beats."""

    node: str
    ip: str
    life: int
    sent: int  # of this life, so that one overtaken on the way is told
    nonce: int
    config: tuple[int, int]
    evacuations: dict[str, tuple[int, str, bool]]
    synced: bool
    members: list[Core]
    registry: tuple[int, int]
    voting: bool
    asks: int = 0  # a nonce that the other is to answer


class LeaseAsk(Message):
    node: str
    ask: int
    epoch: int


class LeaseGrant(Message):
    node: str
    ask: int
    epoch: int
    granted: bool


class GatewayHeartbeat(Message):
    """A gateway tells the control planes that watch it how it is."""

    node: str
    life: int
    ip: str
    zone: str
    region: str
    front: str
    ready: bool
    leaving: bool
    config: tuple[int, int]
    registry: tuple[int, int]


class HeartbeatReply(Message):
    """The answer to GatewayHeartbeat, and a notice when something is new: what is in force here, and who the control planes are."""

    node: str
    cores: list[Core]
    config: tuple[int, int]
    evacuations: int
    registry: tuple[int, int]


class PeerNotice(Message):
    """A gateway tells those of its zone what it holds."""

    node: str
    ip: str
    config: tuple[int, int]
    evacuations: int
    registry: tuple[int, int]


class Count(Message):
    """One add to a tenant's bucket. `units` are kept if the limit allows. `owed`: all units that this life of the gateway
    let past without asking, less those it gave back: a sum, so that none is lost or counted twice with a datagram.
    `length` of a bucket in seconds; `recent`: units this gateway let past in the last bucket's length, for a counter that
    knows nothing of it. `counter`: the mark of the gateway that is asked (`quota.counter_mark`)."""

    ask: int
    node: str
    life: int
    counter: int
    tenant: str
    length: float
    limit: float
    units: float
    owed: float
    recent: float
    registry: tuple[int, int]


class Total(Message):
    """The totals after an add: previous and current bucket, and how much of the window lies in the previous one.
    `life`: of the gateway that asked; `counter` and `counter_life`: who answers."""

    ask: int
    life: int
    counter: int
    counter_life: int
    previous: float
    current: float
    overlap: float
    registry: tuple[int, int]


Datagram = ReplicaHeartbeat | LeaseAsk | LeaseGrant | GatewayHeartbeat | HeartbeatReply | PeerNotice | Count | Total
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Datagram).decode


# The configuration as gateways need it ------------------------------------------------------------------------


class Service(msgspec.Struct, array_like=True):
    name: str
    cold_s: float
    cold_rate: float
    max_conns: int


class Route(msgspec.Struct, array_like=True):
    name: str
    prefix: str
    kind: str
    timeout: float
    target: float
    prio: int
    split: list[tuple[str, float]]
    tries: int
    public: bool
    homes: list[str]


class Tenant(msgspec.Struct, array_like=True):
    name: str
    prio: int | None
    rate: float
    burst: float
    homes: list[str]


class Plan(msgspec.Struct, array_like=True):
    """One configuration in force. `evacuated`: how zones stand, each with the count of its last order."""

    stamp: tuple[int, int]
    services: list[Service]
    hosts: dict[str, list[Route]]
    tenants: list[Tenant]
    keys: dict[str, int]
    keyed: bool
    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class ConfigurationUpdate(msgspec.Struct, array_like=True):
    """Answer to a gateway that is behind: the plan if its stamp was older, and how the zones stand."""

    plan: Plan | None
    evacuations: dict[str, tuple[int, str, bool]]


class Worker(msgspec.Struct, array_like=True):
    """`cold_until` in the clock of whoever sends it."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    draining: bool
    cold_until: float = 0.0


class GatewayAddress(msgspec.Struct, array_like=True):
    """A gateway that is in service: a place for counts, a home for news, an address for clients."""

    node: str
    ip: str
    zone: str
    region: str
    front: str
    ready: bool


class RegistryUpdate(msgspec.Struct, array_like=True):
    """A snapshot (`since` is (0, 0)) or the changes since a mark; removed keys map to None. `now`: the sender's clock."""

    since: tuple[int, int]
    mark: tuple[int, int]
    workers: dict[str, Worker | None]
    gateways: dict[str, GatewayAddress | None]
    now: float


decode_configuration_update = msgspec.msgpack.Decoder(ConfigurationUpdate).decode
decode_registry_update = msgspec.msgpack.Decoder(RegistryUpdate).decode
