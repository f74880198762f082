"""Which answer of a worker belongs to which request, on loopback sockets: extra, late, cut, wrong and foreign ones. Each
case is a pair of requests that may not be repeated, to one worker; for each guard, one case fails without it."""

import asyncio
import re
from unittest import mock

import testtools
from testtools.matchers import Equals, MatchesAny

from fernyard.cluster.data_plane import worker_connections
from fernyard.cluster.data_plane.worker_connections import WorkerConnections
from fernyard.workers import connections, pool

from .gateway import OK, answer, gateway, head

CHUNKED = "Transfer-Encoding: chunked"
SEAL = "Worker-Seal: s"
NO_ANSWER = (502, b"")


def chunks(id, end=b"0\r\n\r\n"):
    return head(OK, id, SEAL, CHUNKED) + b"\r\n7\r\nbody of\r\n%x\r\n %s\r\n" % (len(id) + 1, id.encode()) + end


# What the worker writes to the first request -> what its client gets. A tuple: (at once, as the second request comes).
FIRST = {
    "whole": (lambda id: answer(id), 200),
    "chunked": (lambda id: chunks(id), 200),
    "no body": (lambda id: head("HTTP/1.1 204 None", id, SEAL) + b"\r\n", 204),
    "empty": (lambda id: answer(id, b""), 200),
    "1xx before": (lambda id: b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * 3 + answer(id), 200),
    "failure": (lambda id: answer(id, None, "500 Broken"), 500),
    "no id": (lambda id: answer(None), 502),
    "another's id": (lambda id: answer("foreign"), 502),
    "two ids": (lambda id: answer(id, None, "200 OK", "Attempt-Id: foreign"), 502),
    "failure without an id": (lambda id: answer(None, None, "500 Broken"), 502),
    "Not-Run without an id": (lambda id: answer(None, b"", "503 Full", "Not-Run: 1"), 502),
    "success with Not-Run": (lambda id: answer(id, None, "200 OK", "Not-Run: 1"), 502),
    "500 with Not-Run": (lambda id: answer(id, b"x", "500 Broken", "Not-Run: 1"), 500),
    "503 without Not-Run": (lambda id: answer(id, b"", "503 Full"), 502),
    "no seal": (lambda id: answer(id).replace(b"Worker-Seal", b"Other"), 502),
    "encoded": (lambda id: answer(id, None, "200 OK", "Content-Encoding: gzip"), 502),
    "101": (lambda id: answer(id, b"", "101 Switching"), 502),
    "noise": (lambda id: b"\xff\0 noise\r\n\r\n", 502),
    "two answers in one head": (lambda id: b"HTTP/1.1 503 F\r\nNot-Run: 1\r\nX: " + answer(id), 502),
    "noise behind": (lambda id: answer(id) + b"\0\xff", 200),
    "a second answer behind": (lambda id: answer(id) * 2, 200),
    "part of one behind chunks": (lambda id: chunks(id) + b"HTTP/1.1 200 OK\r\nAtt", 200),
    "bytes behind no body": (lambda id: head("HTTP/1.1 204 None", id, SEAL) + b"Content-Length: 2\r\n\r\nxx", 204),
}
# The same, and the connection ends behind it.
CUT = {
    "cut head": (lambda id: answer(id)[:25], 502),
    "cut body": (lambda id: answer(id)[:-2], 502),
    "cut chunks": (lambda id: chunks(id, b""), 502),
    "no length": (lambda id: head(OK, id, SEAL) + b"\r\nbody of " + id.encode(), 502),
    "nothing": (lambda id: b"", 502),
}
# What comes as the second request does, ahead of its answer, on the connection that the first answer left clean -> whether
# the second request gets its answer. Never another's.
LATE = {
    "the first answer again": lambda first, second: answer(first),
    "a refusal of the first": lambda first, second: answer(first, b"", "503 Full", "Not-Run: 1"),
    "a refusal cut within its head": lambda first, second: b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nX: ",
    "a refusal without an id": lambda first, second: answer(None, b"", "503 Full", "Not-Run: 1"),
    "noise": lambda first, second: b"noise\r\n",
    "a head of the first": lambda first, second: answer(first)[: -len("body of " + first)],
}


async def pair(reply, ends=False, late=None, ids=("a", "b")):
    """Two requests that may not be repeated, one after the other: [(status, body)], and the worker."""

    async def script(worker, request, writer):
        worker.ran.append((request.id, request.body))
        if len(worker.ran) == 1:
            writer.write(reply(request.id))
            return not ends
        writer.write((late(ids[0], ids[1]) if late and writer.number == 1 else b"") + answer(ids[1], b"second"))

    async with gateway(script) as made:
        got = []
        for number, id in enumerate(ids):
            status, _, body = await made.ask(id, body=b"%d" % number)
            got.append((status, body))
        return got, made.workers[0]


class TestPairs(testtools.TestCase):
    def check(self, name, reply, wanted, ends=False):
        """The first gets what is its own, the second its own answer, and the worker runs each once."""
        got, worker = asyncio.run(pair(reply, ends))
        self.assertThat(got[0][0], Equals(wanted), name)
        if wanted == 200:
            self.assertThat(got[0][1], MatchesAny(Equals(b"body of a"), Equals(b"")), name)
        self.assertThat(got[1], Equals((200, b"second")), name)
        self.assertThat(worker.ran, Equals([("a", b"0"), ("b", b"1")]), name)

    def test_first(self):
        for name, (reply, wanted) in FIRST.items():
            self.check(name, reply, wanted)

    def test_cut(self):
        for name, (reply, wanted) in CUT.items():
            self.check(name, reply, wanted, ends=True)

    def check_late(self, name, late):
        got, worker = asyncio.run(pair(answer, late=late))
        self.assertThat(got, Equals([(200, b"body of a"), NO_ANSWER]), name)
        self.assertThat(worker.ran, Equals([("a", b"0"), ("b", b"1")]), name)

    def test_late(self):
        for name, late in LATE.items():
            self.check_late(name, late)

    def check_idle(self, name):
        """A second answer that comes while nobody waits ends its connection: the next request gets a new one."""

        async def run():
            async def script(worker, request, writer):
                worker.ran.append(request.id)
                writer.write(FIRST[name][0](request.id))

            async with gateway(script) as made:
                got = [(await made.ask())[0]]
                made.workers[0].writers[0].write(answer("id-1", None, "500 Broken"))
                for _ in range(50):  # turns of the loop
                    await asyncio.sleep(0)
                return [*got, (await made.ask())[0]], made.workers[0].connections

        status = FIRST[name][1]
        self.assertThat(asyncio.run(run()), Equals(([status, status], 2)), name)

    def check_part(self, reply):
        """Part of a second answer comes behind the first, which is dropped, and its rest as the next answer is due."""
        got, worker = asyncio.run(
            pair(lambda id: reply(id) + b"HTTP/1.1 503 Full\r\nX:", late=lambda first, second: b" y\r\n\r\n")
        )
        self.assertThat((got[1], worker.connections), Equals(((200, b"second"), 2)))

    def test_part_of_a_second_answer(self):
        self.check_part(answer)
        self.check_part(chunks)

    def test_idle(self):
        for name in "whole", "chunked", "no body", "empty", "failure":
            self.check_idle(name)

    def test_not_run_and_the_wrong_worker_are_asked_of_another(self):
        for status in "503 Full", "429 Many", "400 Bad", "421 Wrong":

            async def run(status=status):
                async def refuses(worker, request, writer):
                    told = () if status.startswith("421") else ("Not-Run: 1",)
                    writer.write(answer(request.id, b"", status, *told))

                async def serves(worker, request, writer):
                    worker.ran.append(request.id)
                    writer.write(answer(request.id))

                async with gateway(refuses, serves) as made:
                    got = [(await made.ask())[0] for _ in range(4)]
                    return got, len(made.workers[1].ran)

            self.assertThat(asyncio.run(run()), Equals(([200] * 4, 4)), status)

    def test_an_id_used_twice_gets_a_connection_that_never_carried_it(self):
        """The late answer to the first would else be taken for the second's."""
        got, worker = asyncio.run(pair(answer, late=lambda first, second: answer(first), ids=("a", "a")))
        self.assertThat((got[1], worker.connections), Equals(((200, b"second"), 2)))

    def test_head(self):
        """An answer to HEAD tells a length and has no body: what comes behind it is nobody's."""

        async def run():
            async def script(worker, request, writer):
                worker.ran.append(request.id)
                writer.write(answer(request.id)[: -len("body of " + request.id)] + b"xx" * (len(worker.ran) == 1))

            async with gateway(script) as made:
                got = [(await made.ask(method="HEAD"))[0] for _ in range(3)]
                return got, len(made.workers[0].ran), made.workers[0].connections

        self.assertThat(asyncio.run(run()), Equals(([200] * 3, 3, 2)))

    def test_an_answer_before_the_request_was_read(self):
        """Its connection still owes the rest of the body to the worker: it carries no other."""

        async def run():
            connections = []

            async def serve(reader, writer):
                connections.append(writer)
                request = (await reader.readuntil(b"\r\n\r\n")).decode()
                id = re.search("Attempt-Id: (.*)\r", request).group(1)
                writer.write(answer(id, b"", "503 Full", "Not-Run: 1") if id == "a" else answer(id))
                await reader.read()

            async def unused(worker, request, writer):
                return False

            async with gateway(unused) as made:
                made.workers[0].server.close()
                server = await asyncio.start_server(serve, "127.0.0.1", made.workers[0].port)
                got = [(await made.ask(id, body=b"x" * size))[0] for id, size in (("a", 8_000_000), ("b", 1))]
                server.close()
                for writer in connections:
                    writer.close()
                return got, len(connections)

        self.assertThat(asyncio.run(run()), Equals(([503, 200], 2)))

    def test_the_library_sends_nothing_again_by_itself(self):
        """A GET on a kept connection that breaks: the library would send it once more."""

        async def run():
            async def script(worker, request, writer):
                worker.ran.append(request.id)
                if len(worker.ran) == 2:
                    return False
                writer.write(answer(request.id))

            async with gateway(script) as made:
                got = [(await made.ask(method="GET"))[0] for _ in range(2)]
                return got, len(made.workers[0].ran)

        self.assertThat(asyncio.run(run()), Equals(([200, 502], 2)))

    def test_time_up_before_a_connection_was_had_promises_that_nothing_ran(self):
        async def run():
            async def script(worker, request, writer):
                worker.ran.append(request.id)

            async with gateway(script) as made:
                with mock.patch.object(
                    connections.aiohttp.TCPConnector, "connect", lambda *_, **__: asyncio.Event().wait()
                ):
                    never = (await made.ask(left=60))[0]
                return never, (await made.ask(left=60))[0], len(made.workers[0].ran)

        self.assertThat(asyncio.run(run()), Equals((503, 504, 1)))


async def unguarded(request, handler):
    return await handler(request)


# Guard -> what takes it out, and a test that then fails.
GUARDS = {
    "an answer bears its request's id": (
        lambda: mock.patch.object(worker_connections, "_is_answer_to", lambda request, answer: True),
        lambda test: test.check_late("again", LATE["the first answer again"]),
    ),
    "nothing comes while nobody waits": (
        lambda: mock.patch.object(connections.Answers, "data_received", connections.ResponseHandler.data_received),
        lambda test: test.check_idle("failure"),
    ),
    "an answer tells its end": (
        lambda: mock.patch.object(worker_connections, "_is_delimited", lambda answer: True),
        TestPairs.test_cut,
    ),
    "one status line in a head": (
        lambda: mock.patch.object(connections, "STATUS_LINE", re.compile(rb"\AHTTP/1")),
        lambda test: test.check_late("cut", LATE["a refusal cut within its head"]),
    ),
    "no body behind 204": (
        lambda: mock.patch.object(connections, "NO_BODY", re.compile(rb"never")),
        lambda test: test.check_idle("no body"),
    ),
    "only some statuses say Not-Run": (
        lambda: mock.patch.object(worker_connections, "NOT_RUN_STATUSES", frozenset(range(600))),
        lambda test: test.check("500", *FIRST["500 with Not-Run"]),
    ),
    "an id is carried once by a connection": (
        lambda: mock.patch.object(WorkerConnections, "ID_HEADER", None),
        TestPairs.test_an_id_used_twice_gets_a_connection_that_never_carried_it,
    ),
    "nothing is sent again by the library": (
        lambda: mock.patch.object(pool, "_once", unguarded),
        TestPairs.test_the_library_sends_nothing_again_by_itself,
    ),
    "bytes behind a chunked body end its connection": (
        lambda: mock.patch.object(connections, "ends_chunks", lambda data: True),
        lambda test: test.check_part(chunks),
    ),
    "bytes behind a body end its connection": (
        lambda: mock.patch.object(connections.Answers, "force_close", lambda self: None),
        lambda test: test.check_part(answer),
    ),
}


class TestGuards(testtools.TestCase):
    def test_each_guard_is_needed(self):
        for name, (without, test) in GUARDS.items():
            with without():
                failed = False
                try:
                    test(TestPairs("test_first"))
                except self.failureException:
                    failed = True
            self.assertTrue(failed, f"nothing fails without: {name}")
