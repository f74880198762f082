"""What the system's own processes tell each other: msgspec structs, as datagrams and as bodies of HTTP.

A revision numbers the decided control states (0: none). A mark orders registries: (term, number). Times are seconds.
"""

import msgspec

NO_VERSION = (0, 0)


class Message(msgspec.Struct, array_like=True, tag=True, omit_defaults=True):
    """Base: an array that begins with the name of its kind."""


class LeaseRequest(Message, tag="LeaseAsk"):
    node: str
    ask: int
    epoch: int


class LeaseReply(Message, tag="LeaseGrant"):
    """`seen`: the highest epoch that the member has voted for."""

    node: str
    ask: int
    epoch: int
    granted: bool
    seen: int = 0


class GatewayHeartbeat(Message):
    """A gateway tells the control planes that watch it how it is."""

    node: str
    incarnation: int
    ip: str
    zone: str
    region: str
    front: str
    ready: bool
    leaving: bool
    revision: int
    registry: tuple[int, int]


class HeartbeatReply(Message):
    """The answer to GatewayHeartbeat, and a notice when something is new. `replicas`: ips of control planes. `revision`: what
    is decided, told by one that met a majority of late; 0 by any other."""

    node: str
    replicas: list[str]
    revision: int
    registry: tuple[int, int]


class PeerNotice(Message):
    """A gateway tells those of its zone what it holds."""

    node: str
    ip: str
    revision: int
    registry: tuple[int, int]


class Count(Message):
    """One add to a tenant's bucket. `units` are kept if the limit allows. `owed`: all units that this incarnation of the gateway
    let past without asking, less those it gave back: a sum, so that none is lost or counted twice with a datagram.
    `length` of a bucket in seconds; `recent`: units this gateway let past in the last bucket's length, for a counter that
    knows nothing of it. `counter`: the mark of the gateway that is asked (`quota.counter_mark`)."""

    ask: int
    node: str
    incarnation: int
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
    `incarnation`: of the gateway that asked; `counter` and `counter_incarnation`: who answers."""

    ask: int
    incarnation: int
    counter: int
    counter_incarnation: int
    previous: float
    current: float
    overlap: float
    registry: tuple[int, int]


Datagram = LeaseRequest | LeaseReply | GatewayHeartbeat | HeartbeatReply | PeerNotice | Count | Total
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
    """One configuration in force. `id`: its number and digest."""

    id: str
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
    """Answer to a gateway that is behind: the decided revision, its plan (None: the one that the gateway holds) and the zones
    that nothing is to go to."""

    revision: int
    plan: Plan | None
    evacuated: list[str]


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
