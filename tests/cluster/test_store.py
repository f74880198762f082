"""The word on disk: every write cut at each point, with the unsynced part there, gone or torn."""

import os
import shutil
import tempfile

import msgspec
import testtools
from testtools.matchers import Equals, GreaterThan

from fernyard.cluster.common.errors import StoreError
from fernyard.cluster.control_plane import commands, events
from fernyard.cluster.control_plane.bodies import UNUSED_RETENTION
from fernyard.cluster.control_plane.messages import Accept, Accepted, Decision
from fernyard.cluster.control_plane.recovery import recover
from fernyard.cluster.control_plane.replica import Replica
from fernyard.cluster.control_plane.replica_context import ReplicaSettings
from fernyard.cluster.control_plane.state import NO_CONFIGURATION, ConfigurationId, ProposalNumber, founding_state
from fernyard.cluster.control_plane.store import Files, Store

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
SETTINGS = ReplicaSettings("a", IPS[0], True, IPS, 1)
FOUNDED = founding_state(IPS)


class PowerLost(Exception):
    pass


class Counted(Files):
    """Counts the calls that matter and loses power before the `cut`-th; knows what was synced until then. `waits`: until
    the disk has it, too; what a loss of power leaves is made from `synced` alone."""

    def __init__(self, cut=None, refuses=False, waits=True):
        self.waits = waits
        self.calls, self.cut, self.synced, self.refuses, self.removed = 0, cut, {}, refuses, {}

    def _call(self):
        if self.calls == self.cut:
            raise PowerLost
        self.calls += 1

    def sync(self, path):
        self._call()
        if self.refuses:
            raise OSError(28, "No space left on device")
        if self.waits:
            super().sync(path)
        if os.path.isfile(path):
            with open(path, "rb") as file:
                self.synced[os.path.basename(path)] = file.read()

    def remove(self, path):
        self._call()
        with open(path, "rb") as file:
            self.removed[os.path.basename(path)] = file.read()
        Files.remove(path)


# What becomes of a file of which nothing, or only an earlier content, was synced when power went.
UNSYNCED = {
    "there": lambda content: content,
    "gone": lambda content: None,
    "empty": lambda content: b"",
    "cut": lambda content: content[: len(content) // 2],
    "torn": lambda content: content[: len(content) // 3] + bytes(len(content) - len(content) // 3),
}


def lose_power(folder, synced, removed, unsynced, comes_back):
    """What is on a disk after a loss of power: files of which nothing was synced are there or not, whole or not, and each
    that was removed may be back (`comes_back(name)`)."""
    for name in os.listdir(folder):
        path = os.path.join(folder, name)
        if name in synced:
            continue
        with open(path, "rb") as file:
            content = unsynced(file.read())
        os.remove(path)
        if content is not None:
            write(path, content)
    for name, content in removed.items():
        if comes_back(name):
            write(os.path.join(folder, name), content)


def write(path, content):
    with open(path, "wb") as file:
        file.write(content)


class TestStore(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)

    def folder_of(self, name):
        path = os.path.join(self.folder, name)
        os.makedirs(path)
        return path

    def test_kept_and_replaced(self):
        store = Store(self.folder_of("plain"))
        for number in range(4):
            store.save("config", b"c%d" % number)
            store.save("state", b"s%d" % number)
        self.assertThat(Store(store.folder).load(), Equals({"config": b"c3", "state": b"s3"}))
        self.assertThat(len([name for name in os.listdir(store.folder) if name.endswith(".dat")]), Equals(2))

    def test_power_lost_at_each_point(self):
        """Before `save` returns the old or the new state stands, after it the new one, and never none."""
        old, new = b"old" * 300, b"new" * 900
        for end, unsynced in UNSYNCED.items():
            for cut in range(12):
                folder = self.folder_of(f"{end}-{cut}")
                files = Counted()
                Store(folder, files).save("config", old)
                kept = dict(files.synced)
                store = Store(folder, Counted(cut))
                store.load()
                done = False
                try:
                    store.save("config", new)
                    done = True
                except PowerLost:
                    pass
                kept.update(store.files.synced)
                for name in os.listdir(folder):
                    path = os.path.join(folder, name)
                    if name in kept:
                        continue
                    with open(path, "rb") as file:
                        content = unsynced(file.read())
                    os.remove(path)
                    if content is not None:
                        with open(path, "wb") as file:
                            file.write(content)
                found = Store(folder).load().get("config")
                self.assertIn(found, (new,) if done else (old, new), (end, cut))

    def test_refusing_disk(self):
        store = Store(self.folder_of("full"))
        store.save("config", b"old")
        store.files = Counted(refuses=True)
        error = self.assertRaises(StoreError, store.save, "config", b"new")
        self.assertIn("D300", str(error))
        self.assertThat(Store(store.folder).load(), Equals({"config": b"old"}))

    def test_torn_files_are_passed_over(self):
        """Read back torn: any one file of the newest state spoilt leaves the one before, if it is still there."""
        for spoilt in ".dat", ".dir":
            for content in b"", b"nonsense", b"'content', (0, 99999999)\n", b"\xff\xfe":
                folder = self.folder_of(f"torn{spoilt}{len(content)}")
                store = Store(folder)
                store.save("config", b"old")
                for name in os.listdir(folder):
                    shutil.copy(os.path.join(folder, name), os.path.join(folder, "keep-" + name))
                store.save("config", b"new")
                for name in os.listdir(folder):
                    if name.startswith("keep-"):
                        os.rename(os.path.join(folder, name), os.path.join(folder, name[5:]))
                with open(os.path.join(folder, f"config-0000000002{spoilt}"), "wb") as file:
                    file.write(content)
                again = Store(folder)
                self.assertThat(again.load(), Equals({"config": b"old"}))
                again.save("config", b"newer")  # its number is above the torn one's
                self.assertThat(Store(folder).load(), Equals({"config": b"newer"}))

    def test_power_lost_at_each_point_of_an_erasure(self):
        """The area is whole or gone, and others stay; kept again under its name, it is the later one that is read."""
        for back in (
            lambda name: True,
            lambda name: False,
            lambda name: name.endswith(".dir"),
            lambda name: "dat" in name,
        ):
            for cut in range(5):
                folder = self.folder_of(f"erase-{cut}-{len(os.listdir(self.folder))}")
                store = Store(folder, Counted(waits=False))
                for area in ("vote", "body-00000007-0000000000000abc"):
                    store.save(area, area.encode() * 50)
                kept, store.files = dict(store.files.synced), Counted(cut, waits=False)
                try:
                    store.erase(area)
                except PowerLost:
                    pass
                lose_power(folder, kept, store.files.removed, UNSYNCED["there"], back)
                again = Store(folder)
                found = again.load()
                self.assertThat(found.pop("vote"), Equals(b"vote" * 50))
                self.assertIn(found, ({}, {area: area.encode() * 50}))
                again.files = Counted(waits=False)
                again.save(area, b"later")
                self.assertThat(Store(folder).load()[area], Equals(b"later"))


class TestWritesOfAReplica(testtools.TestCase):
    """Each write that a control plane makes is cut: a vote that was answered is there, and so are the bytes that it names."""

    def setUp(self):
        super().setUp()
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)

    def test_power_lost_at_each_point(self):
        lost = 0
        for legacy in (False, True):
            for end, unsynced in UNSYNCED.items():
                for cut in range(60):
                    folder = os.path.join(self.folder, f"{legacy}-{end}-{cut}")
                    lost += self.cut(folder, legacy, unsynced, cut)
        self.assertThat(lost, GreaterThan(300))  # cuts before the end of the run

    def cut(self, folder, legacy, unsynced, cut):
        store = Store(folder, Counted(waits=False))
        if legacy:
            store.save("state", msgspec.msgpack.encode([[[ip, ip] for ip in IPS], {}, True]))
            store.save("config", msgspec.msgpack.encode([[1, 9], b"one"]))
        kept = dict(store.files.synced)
        files = store.files = Counted(cut, waits=False)
        answered = []
        try:
            self.run_replica(store, answered, bootstrap=not legacy)
        except PowerLost:
            pass
        kept.update(files.synced)
        lose_power(folder, kept, files.removed, unsynced, lambda name: cut % 2)
        recovered = recover(Store(folder).load(), SETTINGS, False, 5)
        state = recovered.vote.state
        if legacy or answered:
            self.assertThat(recovered.vote.member, Equals(FOUNDED.voters[0]), (legacy, cut))
        if state is not None and state.configuration != NO_CONFIGURATION:
            self.assertIn(state.configuration, recovered.bodies, (legacy, cut))
        for proposal_number in answered:
            self.assertTrue(recovered.vote.accepted >= proposal_number, (legacy, cut))
        return files.calls == cut

    def run_replica(self, store, answered, bootstrap):
        """Accepts three configurations, each in place of the one before, and clears away what is unused."""
        recovered = recover(store.load(), SETTINGS, bootstrap, 5)
        replica = Replica(0.0, SETTINGS, 1, recovered.vote, recovered.bodies)
        self.carry_out(store, replica, 0.0, replica.step(0.0, events.Tick()), answered)
        for version in (2, 3, 4):
            now, body = version * UNUSED_RETENTION * 2, b"v%d" % version
            id = ConfigurationId.of(version, body)
            state = msgspec.structs.replace(FOUNDED, configuration=id, revision=version)
            for event in (
                events.MessageReceived(IPS[1], Accept(ProposalNumber(version, 7), state)),
                events.BodyReceived(id, body),
                events.MessageReceived(IPS[1], Decision(ProposalNumber(version, 7), state)),
            ):
                self.carry_out(store, replica, now, replica.step(now, event), answered)

    def carry_out(self, store, replica, now, orders, answered):
        for order in orders:
            if type(order) is commands.StoreArea:
                store.save(order.area, order.content)
                self.carry_out(store, replica, now, replica.step(now, events.AreaStored(order.area, True)), answered)
            elif type(order) is commands.EraseArea:
                store.erase(order.area)
            elif type(order) is commands.SendMessage and type(order.message) is Accepted:
                answered.append(order.message.proposal_number)
