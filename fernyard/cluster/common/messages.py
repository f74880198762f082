"""Messages between the system's own processes: msgspec structs, as datagrams and as bodies of HTTP.

A `revision` numbers the decided control states (0: none). A registry version is the pair (term, number). Times are seconds.

The tag of each message is part of the wire format and is given explicitly: classes may be renamed, tags may not.
"""

import msgspec

RegistryVersion = tuple[int, int]
NO_VERSION: RegistryVersion = (0, 0)


class Message(msgspec.Struct, array_like=True, tag=True, omit_defaults=True):
    """Base of datagrams: an array that begins with the tag of its kind."""


class LeaseRequest(Message, tag="LeaseAsk"):
    """A candidate asks a voter for the lease (`common.lease`)."""

    node: str
    request_id: int
    epoch: int


class LeaseReply(Message, tag="LeaseGrant"):
    """A voter's answer to `LeaseRequest`. `highest_epoch`: the highest epoch that it has voted for."""

    node: str
    request_id: int
    epoch: int
    granted: bool
    highest_epoch: int = 0


class GatewayHeartbeat(Message, tag="GatewayHeartbeat"):
    """A gateway reports its state to the control planes that watch it. `front`: its address for clients."""

    node: str
    incarnation: int
    ip: str
    zone: str
    region: str
    front: str
    ready: bool
    draining: bool
    revision: int
    registry: RegistryVersion


class HeartbeatReply(Message, tag="HeartbeatReply"):
    """The answer to `GatewayHeartbeat`, sent unasked as well when something is new.

    `replicas`: ips of control planes. `revision`: the decided one, from a control plane that was in touch with a majority of
    late; 0 from any other.
    """

    node: str
    replicas: list[str]
    revision: int
    registry: RegistryVersion


class PeerNotice(Message, tag="PeerNotice"):
    """A gateway notifies the others of its zone what it has."""

    node: str
    ip: str
    revision: int
    registry: RegistryVersion


class Count(Message, tag="Count"):
    """One add to a tenant's bucket at a counter gateway; `units` are added if `limit` allows.

    `owed`: all units that this incarnation of the gateway admitted without asking, less those it gave back: a sum, so that
    none is lost or counted twice with a datagram. `length` of a bucket in seconds. `recent`: units this gateway admitted in
    the last bucket's length, for a counter that knows nothing of it. `counter`: which gateway is asked
    (`quota.counter_mark`).
    """

    request_id: int
    node: str
    incarnation: int
    counter: int
    tenant: str
    length: float
    limit: float
    units: float
    owed: float
    recent: float
    registry: RegistryVersion


class Total(Message, tag="Total"):
    """The totals after an add: previous and current bucket, and how much of the window lies in the previous one.

    `incarnation`: of the gateway that asked; `counter` and `counter_incarnation`: of the one that answers.
    """

    request_id: int
    incarnation: int
    counter: int
    counter_incarnation: int
    previous: float
    current: float
    overlap: float
    registry: RegistryVersion


Datagram = LeaseRequest | LeaseReply | GatewayHeartbeat | HeartbeatReply | PeerNotice | Count | Total
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Datagram).decode


# The configuration as gateways need it ------------------------------------------------------------------------


class Service(msgspec.Struct, array_like=True):
    """A service. For `cold_s` seconds after its start a worker takes `cold_rate` requests a second at most (slow start)."""

    name: str
    cold_s: float
    cold_rate: float
    max_conns: int


class Route(msgspec.Struct, array_like=True):
    """A route. `timeout` and `target` (the latency target) in seconds; `split`: weight by service; `homes`: regions."""

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
    """A tenant. `rate` in units a second and `burst` in units bound it; 0: no limit."""

    name: str
    prio: int | None
    rate: float
    burst: float
    homes: list[str]


class Plan(msgspec.Struct, array_like=True):
    """One configuration in force. `id`: its version and digest. `hosts`: routes by host; `keys`: index of a tenant by key."""

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
    """Answer to a gateway that is behind: the decided revision, its plan (None: the one that the gateway has) and the zones
    that receive no traffic."""

    revision: int
    plan: Plan | None
    evacuated: list[str]


class EncodedConfigurationUpdate(msgspec.Struct, array_like=True):
    """`ConfigurationUpdate` with its plan not decoded yet, so that one that cannot be read does not keep the rest back."""

    revision: int
    plan: msgspec.Raw
    evacuated: list[str]


class Worker(msgspec.Struct, array_like=True):
    """An endpoint. `capacity` in concurrent requests; `cold_until` (end of its slow start) in the clock of the sender."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    draining: bool
    cold_until: float = 0.0


class GatewayAddress(msgspec.Struct, array_like=True):
    """A gateway that is in service: a counter, a home for updates, an address for clients."""

    node: str
    ip: str
    zone: str
    region: str
    front: str
    ready: bool


class RegistryUpdate(msgspec.Struct, array_like=True):
    """A snapshot (`since` is (0, 0)) or the changes since a version; removed keys map to None. `now`: the sender's clock."""

    since: RegistryVersion
    version: RegistryVersion
    workers: dict[str, Worker | None]
    gateways: dict[str, GatewayAddress | None]
    now: float


decode_configuration_update = msgspec.msgpack.Decoder(ConfigurationUpdate).decode
decode_encoded_update = msgspec.msgpack.Decoder(EncodedConfigurationUpdate).decode
decode_plan = msgspec.msgpack.Decoder(Plan | None).decode
decode_registry_update = msgspec.msgpack.Decoder(RegistryUpdate).decode
