"""Bytes on the wire and on disk, and seeded runs of the control state, as the build of 2 December 2026 (ac0837a) wrote them.

`golden/messages.txt` holds one line a message or stored form: its label and its bytes. `golden/replica_runs.txt` holds, for seeded
runs of several control planes under faults, a digest of every event and every command so far. Both are kept as they were written:
a rolling restart meets the older build's messages, and a change of names or shape changes no decision.
"""

import hashlib
import pathlib
import shutil
import tempfile

import msgspec
import testtools
from testtools.matchers import Equals

from fernyard.cluster.common import messages as common_messages
from fernyard.cluster.common.messages import (
    ConfigurationUpdate,
    Count,
    GatewayAddress,
    GatewayHeartbeat,
    HeartbeatReply,
    LeaseReply,
    LeaseRequest,
    PeerNotice,
    Plan,
    RegistryUpdate,
    Route,
    Service,
    Tenant,
    Total,
    Worker,
    decode_configuration_update,
    decode_registry_update,
)
from fernyard.cluster.control_plane import commands, events
from fernyard.cluster.control_plane.messages import (
    Accept,
    Accepted,
    Decision,
    ForwardedChange,
    ForwardedChangeResult,
    Prepare,
    Promise,
    Refusal,
    ReplicaHeartbeat,
    StoredBody,
    decode,
    decode_body,
    encode,
)
from fernyard.cluster.control_plane.recovery import recover
from fernyard.cluster.control_plane.replica import Replica
from fernyard.cluster.control_plane.replica_context import ReplicaSettings
from fernyard.cluster.control_plane.state import (
    BeginTerm,
    ConfigurationId,
    Confirm,
    ControlState,
    FinishReplacement,
    Member,
    ProposalNumber,
    ReplaceMember,
    SetConfiguration,
    SetEvacuation,
    Vote,
    ZoneEvacuation,
)
from fernyard.cluster.control_plane.store import Store

from .schedules import Schedule

GOLDEN = pathlib.Path(__file__).parent / "golden"
ID, OLDER = ConfigurationId.of(7, b"seven"), ConfigurationId.of(6, b"six")
MEMBERS = (Member("10.0.0.1", 1), Member("10.0.0.2", 1), Member("10.0.0.3", 99))
NUMBER, HIGHER = ProposalNumber(3, 41), ProposalNumber(4, 17)
STATE = ControlState(
    9, ID, (OLDER,), (ZoneEvacuation("z1", 2, True), ZoneEvacuation("z2", 1, False)), 2, MEMBERS, MEMBERS[:2], 5, 77
)
VOTE = Vote(MEMBERS[0], HIGHER, NUMBER, STATE)
PLAN = Plan(
    "00000007-0000000000000abc",
    [Service("anaquel", 2.0, 10.0, 100)],
    {"api.example": [Route("search", "/search", "idempotent", 3.0, 0.8, 1, [("anaquel", 1.0)], 2, True, ["r1"])]},
    [Tenant("shop", 2, 50.0, 100.0, ["r1"])],
    {"key": 0},
    True,
    16384,
    1 << 20,
    3.0,
    15.0,
)
WORKERS = {"w1": Worker("w1", "anaquel", "10.1.0.1:80", "z1", 6, False, 12.5), "w2": None}
GATEWAYS = {"g1": GatewayAddress("g1", "10.0.1.1", "z1", "r1", "10.0.1.1:80", True)}

# Label: (value, its decoder). The labels stay; the classes may be renamed.
FORMS = {
    "lease request": (LeaseRequest("10.0.0.1/1", 4, 9), decode),
    "lease reply": (LeaseReply("10.0.0.2/1", 4, 9, False, 12), decode),
    "lease reply, default": (LeaseReply("10.0.0.2/1", 4, 9, True), decode),
    "gateway heartbeat": (
        GatewayHeartbeat("g1", 123, "10.0.1.1", "z1", "r1", "10.0.1.1:80", True, False, 9, (5, 3)),
        common_messages.decode,
    ),
    "heartbeat reply": (HeartbeatReply("c1", ["10.0.0.1", "10.0.0.2"], 9, (5, 3)), common_messages.decode),
    "peer notice": (PeerNotice("g1", "10.0.1.1", 9, (5, 3)), common_messages.decode),
    "count": (Count(8, "g1", 123, 456, "shop", 2.0, 100.0, 1.0, 3.0, 7.0, (5, 3)), common_messages.decode),
    "total": (Total(8, 123, 456, 789, 10.0, 4.0, 0.25, (5, 3)), common_messages.decode),
    "configuration update": (ConfigurationUpdate(9, PLAN, ["z1"]), decode_configuration_update),
    "configuration update, plan held": (ConfigurationUpdate(9, None, []), decode_configuration_update),
    "registry update": (RegistryUpdate((5, 2), (5, 3), WORKERS, GATEWAYS, 1.5), decode_registry_update),
    "replica heartbeat": (
        ReplicaHeartbeat("c1", MEMBERS[0], 41, 5, 17, 4, NUMBER, None, 9, True, True, False, True, (5, 3), True),
        decode,
    ),
    "replica heartbeat, default": (
        ReplicaHeartbeat("c1", MEMBERS[0], 41, 5, 0, 0, None, NUMBER, 0, False, False, True, False, (0, 0)),
        decode,
    ),
    "prepare": (Prepare(NUMBER), decode),
    "promise": (Promise(MEMBERS[1], HIGHER, NUMBER, STATE), decode),
    "promise, nothing accepted": (Promise(MEMBERS[1], HIGHER, None, None), decode),
    "accept": (Accept(NUMBER, STATE), decode),
    "accepted": (Accepted(MEMBERS[2], NUMBER), decode),
    "refusal": (Refusal(NUMBER, HIGHER), decode),
    "decision": (Decision(NUMBER, STATE), decode),
    "forwarded configuration": (ForwardedChange(3, 41, SetConfiguration(ID), 17, 5), decode),
    "forwarded evacuation": (ForwardedChange(3, 41, SetEvacuation("z1", True, 2), 17, 5), decode),
    "forwarded term": (ForwardedChange(3, 41, BeginTerm(77, 4), 17, 5), decode),
    "forwarded replacement": (ForwardedChange(3, 41, ReplaceMember(2, 5, MEMBERS[0], MEMBERS[2]), 17, 5), decode),
    "forwarded addition": (ForwardedChange(3, 41, ReplaceMember(2, 5, None, MEMBERS[2]), 17, 5), decode),
    "forwarded end of replacement": (ForwardedChange(3, 41, FinishReplacement(2), 17, 5), decode),
    "forwarded confirmation": (ForwardedChange(3, 41, Confirm(), 17, 5), decode),
    "forwarded result": (ForwardedChangeResult(3, 41), decode),
    "forwarded result, conflict": (ForwardedChangeResult(3, 41, OLDER), decode),
    "stored body": (StoredBody(ID, b"seven"), decode_body),
    "stored vote": (VOTE, msgspec.msgpack.Decoder(Vote).decode),
    "stored first vote": (Vote(MEMBERS[0], None, ProposalNumber(0, 0), STATE), msgspec.msgpack.Decoder(Vote).decode),
}

# What builds before the count of a zone's changes wrote for an evacuation.
UNCOUNTED_EVACUATION = "96ab43617272794368616e6765032993ad53657445766163756174696f6ea27a31c31105"

# Labels of events and commands in the runs, and how to write their fields.
LABELS = {
    events.ConfigurationSubmitted: "put",
    events.EvacuationSubmitted: "evacuation",
    events.ReadRequested: "read",
    events.CallExpired: "expired",
    events.AreaStored: "stored",
    events.BodyReceived: "body",
    events.LeaseChanged: "lease",
    events.ShutdownRequested: "leave",
    events.Tick: "tick",
    events.MessageReceived: "received",
    commands.StoreArea: "save",
    commands.EraseArea: "erase",
    commands.SendMessage: "send",
    commands.PushBody: "push",
    commands.FetchBody: "fetch",
    commands.CompleteCall: "reply",
    commands.PublishState: "publish",
}
NOT_RECORDED = (commands.ReportEvacuation,)  # log lines
SEEDS = range(12)
EVERY = 200  # steps between two digests of a run


def fields_of(value):
    """The values of an event's or command's fields, in their order, as bytes."""
    return [encode(content) for content in msgspec.structs.astuple(value)]


class UncountedEvacuation(msgspec.Struct, array_like=True, frozen=True, tag="SetEvacuation"):
    """The change as earlier builds read it."""

    zone: str
    evacuated: bool


class Recorder:
    """Digests of all that the replicas of one run took and returned."""

    def __init__(self):
        self.digest, self.steps, self.lines = hashlib.sha256(), 0, []

    def record(self, replica, now, event, returned):
        self.digest.update(f"{replica.context.settings.ip} {now:.6f}".encode())
        for value in (event, *returned):
            if type(value) in NOT_RECORDED:
                continue
            self.digest.update(LABELS[type(value)].encode())
            for content in fields_of(value):
                self.digest.update(content)
        self.steps += 1
        if self.steps % EVERY == 0:
            self.lines.append(f"{self.steps} {self.digest.hexdigest()[:16]}")

    def replica(self):
        """A kind of replica that notes each of its steps here."""
        recorder = self

        class RecordedReplica(Replica):
            def step(self, now, event):
                returned = super().step(now, event)
                recorder.record(self, now, event, returned)
                return returned

        return RecordedReplica


def recorded(seed):
    """The digests of a run of random orders and faults, a line each."""
    recorder = Recorder()
    schedule = Schedule(seed, replica=recorder.replica())
    for _ in range(30):
        schedule.step()
    return recorder.lines


def golden_lines(name):
    return (GOLDEN / name).read_text(encoding="utf-8").splitlines()


def all_forms():
    return [f"{label}\t{encode(value).hex()}" for label, (value, _) in FORMS.items()]


def all_runs():
    return [f"{seed} {line}" for seed in SEEDS for line in recorded(seed)]


class TestGolden(testtools.TestCase):
    def test_messages_and_stored_forms_keep_their_bytes(self):
        self.assertThat(all_forms(), Equals(golden_lines("messages.txt")))

    def test_bytes_of_the_earlier_build_are_read(self):
        for line in golden_lines("messages.txt"):
            label, content = line.split("\t")
            value, read = FORMS[label]
            self.assertThat(read(bytes.fromhex(content)), Equals(value), label)

    def test_a_forwarded_evacuation_of_a_build_without_counts_is_read_and_of_this_one_by_that(self):
        value = decode(bytes.fromhex(UNCOUNTED_EVACUATION))
        self.assertThat(value, Equals(ForwardedChange(3, 41, SetEvacuation("z1", True), 17, 5)))
        counted = encode(SetEvacuation("z1", True, 2))
        self.assertThat(
            msgspec.msgpack.decode(counted, type=UncountedEvacuation), Equals(UncountedEvacuation("z1", True))
        )

    def test_runs_take_the_same_decisions(self):
        self.assertThat(all_runs(), Equals(golden_lines("replica_runs.txt")))

    def test_a_disk_of_the_earlier_build_is_read(self):
        """Its vote and its configuration, under the names of areas that it gave them."""
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        store = Store(folder)
        golden = dict(line.split("\t") for line in golden_lines("messages.txt"))
        store.save("vote", bytes.fromhex(golden["stored vote"]))
        store.save("body-" + str(ID), bytes.fromhex(golden["stored body"]))
        settings = ReplicaSettings("c1", "10.0.0.1", True, ("10.0.0.1",), 1)
        recovered = recover(Store(folder).load(), settings, False, 5)
        self.assertThat((recovered.vote, recovered.bodies, recovered.unreadable), Equals((VOTE, {ID: b"seven"}, [])))


if __name__ == "__main__":
    (GOLDEN / "messages.txt").write_text("\n".join(all_forms()) + "\n", encoding="utf-8")
    (GOLDEN / "replica_runs.txt").write_text("\n".join(all_runs()) + "\n", encoding="utf-8")
