"""An operator's caller that closes its connection or has given up: its order may have been given elsewhere, and a later one too, so
that it must not begin here any more."""

import asyncio
import math
import socket
import struct
import tempfile
import time
from unittest import mock

import attrs
import testtools
from testtools.matchers import Equals

from fernyard.cluster.common import settings
from fernyard.cluster.control_plane import events, process
from fernyard.cluster.control_plane.call_table import Bind
from fernyard.cluster.control_plane.operator_calls import CALL_TIMEOUT, EVACUATION_DELAY, MAX_ORDER_AGE, SEND_AGAIN
from fernyard.cluster.control_plane.process import ControlPlane
from fernyard.sockets import TCP_INFO_LAST_DATA, TCP_INFO_RTT, TCP_INFO_SIZE, TCP_INFO_TOTAL_RETRANSMITS, open_for

from .clocks import ShiftedLoop
from .control_planes import ControlPlanes
from .schedules import SYNC

HOST = "127.0.0.1"
LIMIT = 20.0  # seconds after which the test gives up
NEVER = 3600.0
CLOCK_STEP = 0.02  # seconds, of the kernel's clock for connections
ORDER = b"POST /-/evacuate/z1 HTTP/1.1\r\nHost: operator\r\nContent-Length: 0\r\n\r\n"
STATUS = b"GET /-/status HTTP/1.1\r\nHost: operator\r\n\r\n"
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


async def exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes) -> bytes:
    """The head of the answer to one request; its body is read too."""
    writer.write(request)
    head = await reader.readuntil(b"\r\n\r\n")
    length = [line.partition(b":")[2] for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
    await reader.readexactly(int(length[0]) if length else 0)
    return head


async def order_on_a_kept_connection(folder: str, idle: float) -> tuple[str, bool]:
    """What an order is answered that comes so many seconds after its connection's last answer ("waits": none yet), and whether the
    same order, sent again at once where that is asked for, waits to be decided."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, ShiftedLoop)
    with socket.socket() as free:
        free.bind((HOST, 0))
        address = free.getsockname()
    configured = attrs.evolve(settings_of(folder), binds={"control": address})
    control_plane = ControlPlane(configured)
    await control_plane._serve(Bind.CONTROL, address)
    pending = control_plane.replica.calls.pending
    reader, writer = await asyncio.open_connection(*address)
    await exchange(reader, writer, STATUS)
    loop.shift += idle
    control_plane.handle_event(events.Tick())  # the process ran meanwhile
    control_plane.replica._resumed_at = 0.0
    answer = asyncio.create_task(exchange(reader, writer, ORDER))
    while not answer.done() and not pending:
        await asyncio.sleep(0)
    told = "waits"
    if answer.done():
        head = answer.result().decode()
        location = f"Location: http://{address[0]}:{address[1]}/-/evacuate/z1\r\n"
        told = "send it again" if head.startswith("HTTP/1.1 307") and location in head else head
        answer = asyncio.create_task(exchange(reader, writer, ORDER))
        while not answer.done() and not pending:
            await asyncio.sleep(0)
    waits = bool(pending)
    answer.cancel()
    writer.close()
    for server in control_plane._servers:
        server.close()
    control_plane.executor._disk.shutdown()
    return told, waits


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

    def test_an_order_on_a_connection_that_was_silent_is_asked_for_again(self):
        """Guards against EVAC, review/5: a copy that a cut held up for seconds undoes a later order."""
        for idle, told in ((0.0, "waits"), (5.5, "send it again")):

            async def run(idle: float = idle) -> tuple[str, bool]:
                async with asyncio.timeout(LIMIT):
                    with tempfile.TemporaryDirectory() as folder:
                        return await order_on_a_kept_connection(folder, idle)

            with (
                mock.patch.object(process, "ANSWER_TIMEOUT", NEVER),
                asyncio.Runner(loop_factory=ShiftedLoop) as runner,
            ):
                self.assertThat(runner.run(run()), Equals((told, True)), idle)

    def test_a_late_copy_does_not_undo_a_later_order(self):
        """Guards against the same at the replica, whatever the age that its connection proves: the caller stays, as its close is
        still on the way."""
        for age in (0.0, 0.4, MAX_ORDER_AGE + 0.01, 5.5):
            for name in "abc":
                planes = ControlPlanes()
                planes.run(SYNC)
                for evacuated in (True, False, True):
                    self.assertThat(planes.finish(planes.evacuate("b", "z1", evacuated)), Equals(200))
                    planes.run(CALL_TIMEOUT)
                # Younger than CALL_TIMEOUT it can't be: the contrary order was given once its caller had given it up.
                late = planes.evacuate(name, "z1", False, leaves=False, age=age)
                planes.run(SYNC)
                is_old = age > MAX_ORDER_AGE
                self.assertThat(late.status, Equals(SEND_AGAIN if is_old else 200), (age, name))
                self.assertThat(planes.state(name).evacuated_zones, Equals(["z1"] if is_old else []), (age, name))

    def test_an_order_whose_zone_is_confirmed_too_late_is_not_begun(self):
        """Guards against an order whose age is within its bound, and whose zone is read after its caller may have given it up."""
        planes = ControlPlanes()
        planes.run(SYNC)
        planes.isolate("a")
        planes.run(0.1)
        answer = planes.evacuate("a", "z1", True, leaves=False, age=MAX_ORDER_AGE)
        planes.run(CALL_TIMEOUT - MAX_ORDER_AGE + 0.1)
        planes.heal()
        planes.run(SYNC)
        self.assertThat(answer.status, Equals(503))
        self.assertThat(planes.state("a").evacuated_zones, Equals([]))

    def test_a_new_connection_proves_no_less_than_its_handshake_and_its_wait(self):
        """Guards against an order that waited in the kernel, or behind a handshake that a cut held up, and passes for new."""
        told = bytearray(TCP_INFO_SIZE)
        struct.pack_into("=I", told, TCP_INFO_LAST_DATA, 700)
        struct.pack_into("=I", told, TCP_INFO_RTT, 110_000)
        transport = mock.Mock()
        transport.get_extra_info.return_value.getsockopt.side_effect = lambda *_: bytes(told)
        self.assertThat(round(open_for(transport), 6), Equals(0.81))
        struct.pack_into("=I", told, TCP_INFO_TOTAL_RETRANSMITS, 1)
        self.assertThat(open_for(transport), Equals(math.inf))
        transport.get_extra_info.return_value.getsockopt.side_effect = OSError
        self.assertThat(open_for(transport), Equals(0.0))

    def test_the_system_tells_how_long_a_new_connection_is_open(self):
        """Of one on loopback, just taken in: less than the time since it was asked for."""
        began = time.monotonic()
        with socket.create_server((HOST, 0)) as server, socket.create_connection(server.getsockname()) as caller:
            taken, _ = server.accept()
            with taken:
                caller.sendall(ORDER)
                transport = mock.Mock()
                transport.get_extra_info.return_value = taken
                seconds = open_for(transport)
        self.assertTrue(0.0 <= seconds <= time.monotonic() - began + CLOCK_STEP, seconds)
