"""What becomes of a request whose client leaves, at each stage, on loopback sockets: a worker is not kept at work for nobody on
what may be repeated, nothing new reaches a worker, and what may not be repeated is left to its end."""

import asyncio
from contextlib import suppress
from unittest import mock

import testtools
from testtools.matchers import Equals

from fernyard.cluster.data_plane import router as router_module

from .gateway import HOST, answer, gateway
from .test_router import route

LIMIT = 3.0  # seconds; waits end far earlier where the code is right
PATIENCE = 60  # seconds that clients and routes wait: no deadline ends an attempt while a test waits
STAGES = ("queued", "in its head", "in its body", "hedged", "sent ahead")


class HeldWorker:
    """A script that notes each request, writes `beginning` of an answer, and waits until its connection ends or `finish` is
    set, whereupon it runs the request and answers."""

    def __init__(self, beginning=lambda id: b""):
        self.beginning = beginning
        self.arrived, self.ended, self.finish = asyncio.Event(), asyncio.Event(), asyncio.Event()

    async def __call__(self, worker, request, writer):
        writer.write(self.beginning(request.id))
        self.arrived.set()
        end = asyncio.ensure_future(writer.reader.read(1))
        finish = asyncio.ensure_future(self.finish.wait())
        await asyncio.wait((end, finish), return_when=asyncio.FIRST_COMPLETED)
        finish.cancel()
        if end.done():
            with suppress(OSError):
                end.result()
            self.ended.set()
            return False
        end.cancel()
        worker.ran.append(request.id)
        writer.write(answer(request.id))
        return False


async def within(waiting, what):
    """Waits for an event of the test; fails where it does not come."""
    try:
        await asyncio.wait_for(waiting, LIMIT)
    except TimeoutError:
        raise AssertionError(f"never: {what}") from None


def patient(made):
    """Routes that wait long."""
    hosts = [route("read", "/r/", timeout=PATIENCE), route("write", "/w/", "mutating", timeout=PATIENCE)]
    made.configure(6, hosts={"h.example": hosts}, keys={"k": 0})


class LeavingClient:
    """Sends one request; `leave` ends its connection."""

    def __init__(self, made, path, body=b""):
        self.made, self.path, self.body = made, path, body

    async def send(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.made.port)
        self.writer.write(self.made.head("a", self.path, body=self.body, left=1000 * PATIENCE))
        return self

    async def send_ahead(self):
        """More comes on the connection while its request is in hand."""
        (connection,) = self.made.plane.listener.connections.connections
        self.writer.write(self.made.head("b", self.path))
        while not connection.behind:
            await asyncio.sleep(0)

    def leave(self):
        self.writer.transport.abort()


async def is_over(made):
    """Until the router has forgotten all requests."""
    while made.plane.router.requests:
        await asyncio.sleep(0)


async def leaves_at(stage):
    """The client of a request that may be repeated leaves at that stage: its workers' connections end, and nothing runs."""
    beginnings = {"in its head": lambda id: b"HTTP/1.1 200 O", "in its body": lambda id: answer(id)[:-2]}
    held = [HeldWorker(beginnings.get(stage, lambda id: b"")) for _ in range(2)]
    with mock.patch.multiple(router_module, MIN_HEDGE_DELAY=0.0, HEDGE_AFTER=0.0 if stage == "hedged" else 3.0):
        async with gateway(*held, answer=PATIENCE) as made:
            patient(made)
            client = await LeavingClient(made, "/r/x").send()
            if stage == "hedged":
                await within(asyncio.gather(*(worker.arrived.wait() for worker in held)), f"{stage}: two attempts")
            else:
                await within(_first(worker.arrived.wait() for worker in held), f"{stage}: an attempt")
            if stage == "sent ahead":
                await client.send_ahead()
            asked = [worker for worker in held if worker.arrived.is_set()]
            client.leave()
            await within(asyncio.gather(*(worker.ended.wait() for worker in asked)), f"{stage}: their connections end")
            await within(is_over(made), f"{stage}: the request is forgotten")
            return [worker.ran for worker in made.workers], made.plane.router.endpoints.endpoints["w0"].in_flight


async def _first(waiting):
    tasks = [asyncio.ensure_future(each) for each in waiting]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


class TestRepeatable(testtools.TestCase):
    def test_attempts_end_with_their_client(self):
        failed = []
        for stage in STAGES:
            try:
                self.assertThat(asyncio.run(leaves_at(stage)), Equals(([[], []], 0)), stage)
            except AssertionError as error:
                failed.append(str(error))
        self.assertEqual([], failed)
