"""What becomes of a request whose client leaves, at each stage, on loopback sockets: a worker is not kept at work for nobody on
what may be repeated, nothing new reaches a worker, and what may not be repeated is left to its end."""

import asyncio
import socket
from contextlib import suppress
from unittest import mock

import testtools
from testtools.matchers import Equals

from fernyard.clients import connections as client_connections
from fernyard.cluster.common import bodies
from fernyard.cluster.common.messages import NO_VERSION, ConfigurationUpdate, RegistryUpdate, Total, Worker
from fernyard.cluster.data_plane import (
    commands,
    events,
    listener as listener_module,
    process as process_module,
    router as router_module,
    worker_connections,
)
from fernyard.interface import End
from fernyard.workers import Outcome

from .gateway import HOST, answer, gateway
from .guards import assert_each_is_needed
from .test_router import Bench, plan, route

LIMIT = 3.0  # seconds; waits end far earlier where the code is right
PATIENCE = 60  # seconds that clients and routes wait: no deadline ends an attempt while a test waits
LARGE = b"x" * (24 << 20)  # more than all buffers on its way hold
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
        await until(lambda: connection.behind)

    def leave(self):
        self.writer.transport.abort()


async def until(true):
    """Runs the loop until that holds; fails where it never does."""
    end = asyncio.get_running_loop().time() + LIMIT
    while not true():
        if asyncio.get_running_loop().time() > end:
            raise AssertionError("waited in vain")
        await asyncio.sleep(0)


async def is_over(made):
    """Until the router has forgotten all requests."""
    await until(lambda: not (made.plane.router.requests))


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


class SlowReader:
    """A worker that reads nothing of what it is sent until `read_on`; `received`: bytes until its connection ended."""

    def __init__(self):
        self.arrived, self.read_on, self.ended, self.received = asyncio.Event(), asyncio.Event(), asyncio.Event(), 0

    async def serve(self, reader, writer):
        self.arrived.set()
        await self.read_on.wait()
        with suppress(OSError):
            while data := await reader.read(1 << 16):
                self.received += len(data)
        self.ended.set()
        writer.close()


class DeafPort:
    """A port whose connections never come up: its queue is full and nobody takes from it."""

    def __enter__(self):
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
        return self

    def __exit__(self, *_):
        for opened in (self.listener, *self.fillers):
            opened.close()


def register(made, port):
    """One worker, at that port."""
    workers = {"w0": Worker("w0", "s", f"{HOST}:{port}", "z", 50, False)} | dict.fromkeys(
        [id for id in made.plane.router.registry.workers if id != "w0"]
    )
    update = RegistryUpdate((1, 1), (1, 2), workers, {}, made.plane.now())
    made.plane.handle_event(events.RegistryChanged(update))


async def leaves_while_connecting(path):
    with DeafPort() as deaf:
        async with gateway() as made:
            register(made, deaf.port)
            patient(made)
            client = await LeavingClient(made, path).send()
            await until(lambda: made.plane.workers.out)
            await until(lambda: made.plane.workers.connector.open)
            client.leave()
            await within(is_over(made), f"{path}: the request is forgotten")
            await until(lambda: not made.plane.workers.connector.open)
            return len(made.plane.workers.out)


async def leaves_before_it_is_read():
    """Its request and its end are both there before the gateway looks."""
    held = HeldWorker()
    async with gateway(held) as made:
        with socket.create_connection((HOST, made.port)) as client:
            client.sendall(made.head("a", "/r/x"))
        await until(lambda: made.plane.listener.connections.open)
        await until(lambda: not (made.plane.listener.connections.open))
        return made.plane.router.metrics.forwarded, [worker.requests for worker in made.workers]


async def leaves_before_it_is_complete():
    """Half of its body is there; the rest never comes."""
    held = HeldWorker()
    async with gateway(held) as made:
        reader, writer = await asyncio.open_connection(HOST, made.port)
        writer.write(made.head("a", "/r/x", body=b"whole")[:-2])
        await until(lambda: made.plane.listener.connections.partial)
        writer.transport.abort()
        await until(lambda: not made.plane.listener.connections.open)
        return made.plane.router.metrics.forwarded, made.plane.listener.number


async def leaves_during_its_upload(slice_size=bodies.SLICE):
    """Does the worker lack a part? `slice_size`: bytes that are given to the connection at once, where they wait to be written."""
    slow = SlowReader()
    with mock.patch.object(bodies, "SLICE", slice_size):
        return await _leaves_during_its_upload(slow)


async def _leaves_during_its_upload(slow):
    server = await asyncio.start_server(slow.serve, HOST, 0)
    async with gateway() as made:
        register(made, server.sockets[0].getsockname()[1])
        patient(made)
        client = await LeavingClient(made, "/r/x", LARGE).send()
        await within(slow.arrived.wait(), "the upload begins")
        client.leave()
        await within(is_over(made), "the request is forgotten")
        slow.read_on.set()
        await within(slow.ended.wait(), "its connection ends")
        server.close()
        return slow.received < len(LARGE)


async def answered_while_a_hedge_is_out():
    """The second attempt is answered; the first is not kept at work."""
    held = [HeldWorker(), HeldWorker()]
    with mock.patch.multiple(router_module, MIN_HEDGE_DELAY=0.0, HEDGE_AFTER=0.0):
        async with gateway(*held) as made:
            patient(made)
            asking = asyncio.ensure_future(made.ask("a", "/r/x", left=1000 * PATIENCE))
            await within(asyncio.gather(*(worker.arrived.wait() for worker in held)), "two attempts")
            held[1].finish.set()
            status, _, body = await asking
            await within(held[0].ended.wait(), "the other's connection ends")
            await within(is_over(made), "the request is forgotten")
            return status, body, [worker.ran for worker in made.workers]


async def leaves_what_may_not_be_repeated():
    """Its attempt goes on, also through a shutdown that begins meanwhile, and ends with its own answer."""
    held = HeldWorker()
    async with gateway(held) as made:
        patient(made)
        client = await LeavingClient(made, "/w/x").send()
        await within(held.arrived.wait(), "an attempt")
        client.leave()
        await until(lambda: not (made.plane.listener.connections.open))
        with mock.patch.object(process_module, "ACCEPT_AFTER_STOP", 0.0):
            draining = asyncio.ensure_future(made.plane._drain())
            await until(lambda: not (made.plane.listener.connections.listener is not None))
            for _ in range(50):
                await asyncio.sleep(0)
            went_on = not draining.done() and not held.ended.is_set()
            held.finish.set()
            await within(draining, "the shutdown ends")
        return went_on, made.workers[0].ran, len(made.plane.router.requests)


class TestStages(testtools.TestCase):
    def test_while_the_connection_to_the_worker_comes_up(self):
        """Nothing was written yet, so what may not be repeated ends too."""
        for path in ("/r/x", "/w/x"):
            self.assertThat(asyncio.run(leaves_while_connecting(path)), Equals(0), path)

    def test_before_its_request_was_read(self):
        self.assertThat(asyncio.run(leaves_before_it_is_read()), Equals((0, [[]])))

    def test_before_its_request_is_complete(self):
        self.assertThat(asyncio.run(leaves_before_it_is_complete()), Equals((0, 0)))

    def test_during_its_upload(self):
        """What was not written yet is dropped: the worker never gets the complete request, in one slice or in many."""
        for slice_size in (bodies.SLICE, len(LARGE)):
            self.assertTrue(asyncio.run(leaves_during_its_upload(slice_size)), slice_size)

    def test_a_hedged_request_that_was_answered(self):
        self.assertThat(asyncio.run(answered_while_a_hedge_is_out()), Equals((200, b"body of a", [[], ["a"]])))

    def test_what_may_not_be_repeated_is_left_to_its_end(self):
        self.assertThat(asyncio.run(leaves_what_may_not_be_repeated()), Equals((True, ["a"], 0)))

    def test_each_guard_is_needed(self):
        guards = {
            "an upload is reset, not closed": (
                lambda: mock.patch.object(worker_connections.WorkerConnections, "cancel", _close_only),
                lambda: self.assertTrue(asyncio.run(leaves_during_its_upload(len(LARGE)))),
            ),
            "a client that left is seen before its request is forwarded": (
                lambda: mock.patch.object(listener_module, "ended_by_peer", lambda transport: False),
                lambda: self.assertThat(asyncio.run(leaves_before_it_is_read()), Equals((0, [[]]))),
            ),
            "what comes behind a request is read off": (
                lambda: mock.patch.object(client_connections, "MOST_DROPPED", 0),
                lambda: asyncio.run(leaves_at("sent ahead")),
            ),
            "a shutdown waits for what may not be repeated": (
                lambda: mock.patch.object(worker_connections.WorkerConnections, "finish", _finish_at_once),
                lambda: self.assertThat(asyncio.run(leaves_what_may_not_be_repeated()), Equals((True, ["a"], 0))),
            ),
        }
        for name, (without, run) in guards.items():
            assert_each_is_needed(self, {name: without}, run)


def _close_only(self, number, attempt, only_unsent):
    self.give_up(number, attempt)


async def _finish_at_once(self, until):
    pass


def cancels(bench, number):
    return [
        (command.attempt, command.only_unsent)
        for command in bench.executed
        if type(command) is commands.CancelAttempt and command.number == number
    ]


class Counting(Bench):
    """Keeps the answers of the counter back until `release`."""

    def __init__(self, **fields):
        self.held = []
        super().__init__(**fields)

    def handle(self, event):
        returned = self.router.step(self.now, event)
        self.executed += returned
        self.held += [command.count for command in returned if type(command) is commands.SendCount]
        return returned

    def release(self, current=1.0):
        count = self.held.pop(0)
        total = Total(count.request_id, 1, count.counter, 1, 0.0, current, 1.0, NO_VERSION)
        self.executed += self.router.step(self.now, events.CountAnswered(total))

    def owed(self):
        """Units that the next add of the tenant reports beside its own."""
        number = self.arrive("/r/x", "k-few")
        self.handle(events.ClientGone(number))
        return self.held.pop().owed


class TestDecisions(testtools.TestCase):
    def test_attempts_that_are_given_up(self):
        """(path, how the attempts before ended) -> (attempts given up, whether only if nothing was written) as it leaves."""
        for path, before, expected in (
            ("/r/x", (), [(0, False)]),
            ("/r/x", (End.RESET,), [(1, False)]),
            ("/w/x", (), [(0, True)]),
            ("/w/x", (End.FULL,), [(1, True)]),
            ("/r/x", (End.PASSED,), []),
            ("/w/x", (End.RESET,), []),
        ):
            bench = Bench()
            number = bench.arrive(path)
            for end in before:
                bench.end(number, end, 200 if end is End.PASSED else 0)
            bench.handle(events.ClientGone(number))
            self.assertThat(cancels(bench, number), Equals(expected), (path, before))
            sends = len(bench.sends(number))
            bench.later(2.0)
            self.assertThat(len(bench.sends(number)), Equals(sends), (path, before))

    def test_a_kind_that_changed_since(self):
        """What was repeatable when it was taken is given up, whatever its route is by now."""
        bench = Bench()
        number = bench.arrive("/r/x")
        hosts = {"h.example": [route("read", "/r/", "mutating")]}
        bench.handle(events.ConfigurationChanged(ConfigurationUpdate(9, plan(9, hosts=hosts), [])))
        bench.handle(events.ClientGone(number))
        self.assertThat(cancels(bench, number), Equals([(0, False)]))

    def test_units(self):
        """(path, how the attempt ended after its client left, was it sent) -> units that go back."""
        for path, end, sent, units in (
            ("/r/x", End.CANCELLED, False, 1.0),
            ("/r/x", End.CANCELLED, True, 0.0),
            ("/w/x", End.CANCELLED, False, 1.0),
            ("/w/x", End.PASSED, True, 0.0),
            ("/w/x", End.FULL, True, 1.0),
            ("/w/x", End.RESET, True, 0.0),
        ):
            bench = Counting()
            number = bench.arrive(path, "k-few")
            bench.release()
            bench.handle(events.ClientGone(number))
            send = bench.sends(number)[0]
            bench.handle(
                Outcome(number, send.attempt, send.worker, end, 100, b"x", (), 200 if end is End.PASSED else 0, sent)
            )
            self.assertThat(bench.owed(), Equals(-units), (path, end, sent))

    def test_units_while_the_counter_is_asked(self):
        """What the counter added goes back; what it did not add, as it was past the limit, does not."""
        for current, units in ((1.0, 1.0), (99.0, 0.0)):
            bench = Counting()
            number = bench.arrive("/r/x", "k-few")
            bench.handle(events.ClientGone(number))
            bench.release(current)
            self.assertThat((bench.owed(), bench.sends(number)), Equals((-units, [])), current)

    def test_what_a_given_up_attempt_shows_of_its_worker(self):
        """It took longer than that and no more: one that was given up soon changes nothing, and none is a failure."""
        for waited, slower in ((0.01, False), (2.0, True)):
            bench = Bench()
            number = bench.arrive("/w/x")
            send = bench.sends(number)[0]
            bench.now += waited
            bench.handle(Outcome(number, send.attempt, send.worker, End.CANCELLED, 100, b"", (), 0))
            endpoint = bench.router.endpoints.endpoints[send.worker]
            read = endpoint.slowness.read(bench.now)
            self.assertThat((read > 1.0, endpoint.failures, endpoint.in_flight), Equals((slower, 0, 0)), waited)


class TestRepeatable(testtools.TestCase):
    def test_attempts_end_with_their_client(self):
        failed = []
        for stage in STAGES:
            try:
                self.assertThat(asyncio.run(leaves_at(stage)), Equals(([[], []], 0)), stage)
            except AssertionError as error:
                failed.append(str(error))
        self.assertEqual([], failed)
