"""An operator's caller that closes its connection: its order may have been given elsewhere, and a later one too, so that it must not
begin here any more."""

import asyncio
import socket
import tempfile
from unittest import mock

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common import settings
from fernyard.cluster.control_plane import events, process
from fernyard.cluster.control_plane.call_table import Bind
from fernyard.cluster.control_plane.operator_calls import EVACUATION_DELAY
from fernyard.cluster.control_plane.process import ControlPlane

from .control_planes import ControlPlanes
from .schedules import SYNC

HOST = "127.0.0.1"
LIMIT = 20.0  # seconds after which the test gives up
NEVER = 3600.0
ORDER = b"POST /-/evacuate/z1 HTTP/1.1\r\nHost: operator\r\nContent-Length: 0\r\n\r\n"
TICKET = 7


def settings_of(folder: str) -> settings.Settings:
    """One of three control planes, of which the others are not there."""
    return settings.parse(
        {
            "node": "a",
            "ip": HOST,
            "zone": "z1",
            "region": "r1",
            "portRange": [1, 1],
            "seedAddrs": [f"{HOST}:1", "127.0.0.2:1", "127.0.0.3:1"],
            "bootstrap": True,
            "voting": True,
            "dataDir": folder,
            "zones": {"z1": "r1"},
        }
    )


async def leave_while_the_call_waits(folder: str) -> int:
    """How many calls wait at the replica once the caller has left and its handler has ended."""
    control_plane = ControlPlane(settings_of(folder))
    with socket.socket() as free:
        free.bind((HOST, 0))
        address = free.getsockname()
    await control_plane._serve(Bind.CONTROL, address)
    pending = control_plane.replica.calls.pending
    _, writer = await asyncio.open_connection(*address)
    writer.write(ORDER)
    while not pending:
        await asyncio.sleep(0)
    writer.close()
    while control_plane.executor.waiting_calls:
        await asyncio.sleep(0)
    for server in control_plane._servers:
        server.close()
    control_plane.executor._disk.shutdown()
    return len(pending)


class TestAbandonedCalls(testtools.TestCase):
    def test_the_call_of_a_caller_that_left_ends_at_once(self):
        """Guards against an order that arrives late, with the close of its caller, and undoes a later one."""

        async def run() -> int:
            async with asyncio.timeout(LIMIT):
                with tempfile.TemporaryDirectory() as folder:
                    return await leave_while_the_call_waits(folder)

        with mock.patch.object(process, "ANSWER_TIMEOUT", NEVER):
            self.assertThat(asyncio.run(run()), Equals(0))

    def test_an_evacuation_whose_caller_left_at_once_is_not_begun(self):
        """Guards against an order that is begun before the close behind it is seen; one whose caller stays is begun."""
        for leaves in (True, False):
            for name in "abc":
                planes = ControlPlanes()
                planes.run(SYNC)
                machine = planes.machines[name]
                planes.handle(machine, events.EvacuationSubmitted(TICKET, "z1", True))
                planes.run(0.9 * EVACUATION_DELAY)
                if leaves:
                    planes.handle(machine, events.CallExpired(TICKET))
                planes.run(SYNC)
                expected = [] if leaves else ["z1"]
                self.assertThat(planes.state(name).evacuated_zones, Equals(expected), (leaves, name))
