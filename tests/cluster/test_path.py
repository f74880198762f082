"""The whole path of requests on loopback sockets: clients that pipeline, chunk, hang up and come again, workers that answer
extra, late, cut, wrong and foreign. What a client gets is its own, and what may not be repeated runs once."""

import asyncio
from collections import Counter
from contextlib import suppress
from random import Random
from unittest import mock

import testtools
from testtools.matchers import Equals

from fernyard.clients import connections as client_connections
from fernyard.cluster.data_plane import (
    endpoints as endpoints_module,
    listener as listener_module,
    router as router_module,
    worker_connections,
)
from fernyard.cluster.data_plane.router import PROMISES
from fernyard.workers import pool

from .gateway import answer, gateway, read_answer
from .guards import assert_each_is_needed
from .test_answers import chunks, unguarded

CLIENTS, REQUESTS = 10, 30
REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nX: "
# What a worker does with a request: (it runs it, what it writes, what it writes ahead of the next answer, it ends there).
FATES = (
    *[(True, answer, None, False)] * 30,
    (True, chunks, None, False),
    (True, answer, answer, False),
    (True, answer, lambda id: REFUSAL, False),
    (True, answer, lambda id: answer(id, b"", "503 Full", "Not-Run: 1"), False),
    (True, lambda id: answer(id) * 2, None, False),
    (True, lambda id: answer(id)[:-2], None, True),
    (True, lambda id: answer("foreign"), None, False),
    (True, lambda id: answer("foreign", b"x", "500 Broken"), None, False),
    (True, lambda id: answer(None), None, False),
    (True, lambda id: answer(id, b"x", "500 Broken"), None, False),
    (True, lambda id: answer(id, b"", "503 Full"), None, False),
    (True, lambda id: b"noise\r\n\r\n", None, True),
    (True, lambda id: b"", None, True),
    (False, lambda id: b"", None, True),
    (False, lambda id: answer(id, b"", "503 Full", "Not-Run: 1"), None, False),
)


def workers_of_fates(count):
    """Scripts of workers: what happens to a request goes by its id and how often it came, at whichever of them."""
    arrived = Counter()

    async def script(worker, request, writer):
        arrived[request.id] += 1
        runs, reply, late, ends = Random(f"{request.id} {arrived[request.id]}").choice(FATES)
        if runs:
            worker.ran.append((request.id, request.method, request.path, request.body))
        writer.write(getattr(writer, "late", b"") + reply(request.id))
        writer.late = late(request.id) if late else b""
        return not ends

    return [script] * count


class Client:
    """Asks one request after the other or two at once, on kept and new connections; hangs up at times."""

    def __init__(self, made, name):
        self.made, self.name, self.random = made, name, Random(name)
        self.asked, self.got, self.connection = {}, {}, None

    def request(self, number):
        """(id, bytes): a body with a length or in chunks, or none."""
        id, kind = f"{self.name}-{number}", self.random.choice("wwr")
        method, body = self.random.choice((("GET", b""), ("POST", f"asked {id}".encode())))
        path = f"/{kind}/{id}?x=%2F&y"
        self.asked[id] = method, path, body
        data = self.made.head(id, path, method, body)
        if body and self.random.random() < 0.5:
            data = self.made.head(id, path, method, Content_Length=None, Transfer_Encoding="chunked")
            data += b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return id, data

    async def play(self):
        number = 0
        while number < REQUESTS:
            if self.connection is None:
                self.connection = await asyncio.open_connection("127.0.0.1", self.made.port)
            reader, writer = self.connection
            some = [self.request(number + n) for n in range(self.random.choice((1, 1, 2)))]
            number += len(some)
            writer.write(b"".join(data for _, data in some))
            if self.random.random() < 0.1:
                self.hang_up()  # and the next connection may get its number
                continue
            for id, _ in some:
                status, headers, body = await read_answer(reader)
                self.got[id] = status, headers.get("attempt-id"), body
                if not status or headers.get("connection") == "close":
                    self.hang_up()
                    break

    def hang_up(self):
        self.connection[1].close()
        self.connection = None


def check(clients, workers):
    """No answer to the wrong caller, nothing changed on the way, nothing that may not be repeated run twice."""
    runs = [run for worker in workers for run in worker.ran]
    for client in clients:
        for id, asked in client.asked.items():
            mine = [run[1:] for run in runs if run[0] == id]
            status, told, body = client.got.get(id, (0, None, b""))
            if any(run != asked for run in mine):
                raise AssertionError(f"UNASKED {id}: {mine}")
            if told not in (None, id) or status == 200 and (told, body) != (id, f"body of {id}".encode()):
                raise AssertionError(f"MIXED {id}: {status} {told} {body}")
            if status == 200 and not mine:
                raise AssertionError(f"MIXED {id}: it never ran")
            if asked[1].startswith("/w/") and len(mine) > 1:
                raise AssertionError(f"TWICE {id}")
            if asked[1].startswith("/w/") and status in PROMISES and mine:
                raise AssertionError(f"REFUSED {id}: {status}")


async def play(seed):
    # No worker is passed by for its failures: else most requests of a run as short as this are refused unsent.
    with mock.patch.object(endpoints_module, "EJECTION", 0.0):
        return await play_on(seed)


async def play_on(seed):
    async with gateway(*workers_of_fates(6)) as made:
        clients = [Client(made, f"{seed}-{number}") for number in range(CLIENTS)]
        await asyncio.wait_for(asyncio.gather(*(client.play() for client in clients)), 60)
        while made.plane.router.requests:  # dispatches of clients that hung up
            await asyncio.sleep(0)
        for client in clients:
            if client.connection is not None:
                client.hang_up()
        check(clients, made.workers)
        return sum(got[0] == 200 for client in clients for got in client.got.values())


GUARDS = {
    "an answer bears its request's id": lambda: mock.patch.object(
        worker_connections, "_is_answer_to", lambda request, answer: True
    ),
    "what may have run is not sent again": lambda: mock.patch.object(
        router_module.RequestRouter, "_repeatable", lambda self, request: True
    ),
    "a worker's promise counts with Not-Run alone": lambda: mock.patch.object(router_module, "PROMISES", frozenset()),
    "nothing is sent again by the library": lambda: mock.patch.object(pool, "_once", unguarded),
}


class TestRandom(testtools.TestCase):
    def test_random(self):
        for seed in range(4):
            self.assertTrue(asyncio.run(play(seed)) > CLIENTS * REQUESTS / 3)

    def test_each_guard_is_needed(self):
        def play_eight():
            for seed in range(8):
                asyncio.run(play(seed))

        assert_each_is_needed(self, GUARDS, play_eight)


async def serves(worker, request, writer):
    worker.ran.append((request.id, request.method, request.path, request.body))
    writer.write(answer(request.id))


async def raw(made, data, answers):
    """The answers on one connection: [(status, id or None)], until it ends or there are enough."""
    reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
    writer.write(data)
    got = []
    with suppress(OSError):
        while len(got) < answers:
            status, headers, _ = await read_answer(reader)
            got.append((status, headers.get("attempt-id")))
            if not status:
                break
    writer.close()
    return got


class TestClients(testtools.TestCase):
    def play(self, run):
        async def playing():
            async with gateway(serves) as made:
                return await run(made)

        return asyncio.run(playing())

    def test_framing(self):
        """A request that two readers could read in two ways is no request, and what stands behind it is not read."""
        for name, headers in (
            ("a length and chunks", {"Transfer_Encoding": "chunked", "Content_Length": "3"}),
            ("another coding", {"Transfer_Encoding": "gzip, chunked", "Content_Length": None}),
            ("two lengths", {"Content_Length": "3\r\nContent-Length: 4"}),
            ("a length that is none", {"Content_Length": "+3"}),
            ("two ids", {"X": "y\r\nAttempt-Id: other"}),
            ("two hosts", {"X": "y\r\nHost: other"}),
            ("two keys", {"X": "y\r\nKey: k"}),
        ):

            async def run(made, headers=headers):
                hidden = made.head("hidden", "/w/hidden", Connection="close")
                got = await raw(made, made.head("a", "/w/x", **headers) + b"3\r\nabc\r\n0\r\n\r\n" + hidden, 3)
                return got, made.workers[0].ran

            got, ran = self.play(run)
            self.assertThat((got[0][0], got[-1][0], ran), Equals((400, 0, [])), name)

    def test_paths_go_on_unchanged_or_not_at_all(self):
        for path, goes in (
            ("/w/a%2Fb/../c//d?x=%41&y=%%", True),
            ("/w/;=,?/??", True),
            ("/w/a#b", False),
            ("http://h.example/w/x", False),
        ):

            async def run(made, path=path):
                got = await raw(made, made.head("a", path), 1)
                return got[0][0], [ran[2] for ran in made.workers[0].ran]

            self.assertThat(self.play(run), Equals((200, [path]) if goes else (400, [])), path)

    def test_sent_ahead_is_answered_in_order(self):
        async def run(made):
            return await raw(made, b"".join(made.head(f"id-{n}", "/w/x", body=b"b" * n) for n in range(5)), 5)

        self.assertThat(self.play(run), Equals([(200, f"id-{n}") for n in range(5)]))

    def test_sent_ahead_behind_the_last_answer_is_not_run(self):
        """Once an answer says that it is the last on its connection, what was sent ahead is nobody's."""

        async def run(made):
            made.plane.listener.stopping = True
            got = await raw(made, b"".join(made.head(f"id-{n}", "/w/x") for n in range(3)), 3)
            return got, [ran[0] for ran in made.workers[0].ran]

        self.assertThat(self.play(run), Equals(([(200, "id-0"), (0, None)], ["id-0"])))

    def test_sent_while_one_is_in_hand_is_not_read(self):
        """It ends its connection behind the answer that was waited for, and no worker hears of it."""

        async def run(made):
            report, held = made.plane.workers.report, []
            made.plane.workers.report = held.append
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(made.head("a", "/w/x"))
            while not held:
                await asyncio.sleep(0)
            (connection,) = made.plane.listener.connections.connections
            writer.write(made.head("b", "/w/x"))
            while not connection.behind:
                await asyncio.sleep(0)
            made.plane.workers.report = report
            report(held[0])
            got = [(await read_answer(reader))[0] for _ in range(2)]
            writer.close()
            return got, [ran[0] for ran in made.workers[0].ran]

        self.assertThat(self.play(run), Equals(([200, 0], ["a"])))

    def test_no_answer_after_the_client_went(self):
        """Its request's number, and perhaps its connection's, come again only for another: the answer is dropped."""

        async def run(made):
            asked, front = asyncio.Event(), made.plane.listener
            report = front.report
            front.report = lambda event: (report(event), asked.set())
            with mock.patch.object(made.plane.workers, "send", lambda *told: None):
                _, writer = await asyncio.open_connection("127.0.0.1", made.port)
                writer.write(made.head("a", "/w/x"))
                await asked.wait()
                number = front.number
                writer.transport.abort()
                while number in front.waiting:
                    await asyncio.sleep(0)
            got = asyncio.ensure_future(raw(made, made.head("b", "/w/x"), 1))
            front.answer(number, 200, b"of a")
            return await got, front.number - number

        self.assertThat(self.play(run), Equals(([(200, "b")], 1)))

    def test_a_connection_with_a_request_that_waits_to_be_served_is_not_closed(self):
        async def run(made):
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(made.head("a", "/w/x") + made.head("b", "/w/x"))
            ended = made.plane.listener.connections.ended

            def closing(connection):
                ended(connection)
                made.plane.listener.connections.drop_unused()

            with mock.patch.object(made.plane.listener.connections, "ended", closing):
                got = [(await read_answer(reader))[0] for _ in range(2)]
            writer.close()
            return got

        self.assertThat(self.play(run), Equals([200, 200]))

    def test_each_guard_is_needed(self):
        for name, without, test in (
            (
                "one framing",
                mock.patch.object(listener_module, "check_framing", lambda headers, once: None),
                TestClients.test_framing,
            ),
            (
                "what was read is served first",
                mock.patch.object(client_connections.Connection, "silent", lambda self: True),
                TestClients.test_a_connection_with_a_request_that_waits_to_be_served_is_not_closed,
            ),
        ):
            with without:
                failed = False
                try:
                    test(TestClients("test_framing"))
                except self.failureException:
                    failed = True
            self.assertTrue(failed, f"nothing fails without: {name}")
