"""Large answers over a narrow link, on sockets of the loopback address: whole, one behind the other, on one connection."""

import asyncio

import aiohttp
import testtools
from testtools.matchers import Equals

from fernyard.exchange.switchboard.front import Front
from fernyard.exchange.switchboard.pace import PART, SMALL, Pace
from fernyard.exchange.switchboard.shell import limits
from fernyard.exchange.switchboard.types import Asked
from fernyard.exchange.trunk import settings
from fernyard.lab.runner import free_port
from fernyard.log import Counts

from .test_word import TOLD


class TestPace(testtools.TestCase):
    def test_all_large_answers_together_get_their_part(self):
        pace, now = Pace(1000.0), 0.0
        for _ in range(10):                 # two at a time, each as fast as it may
            waits = [pace.take(now, 100), pace.take(now, 100)]
            now += max(waits)
        self.assertThat(round(2000 / now), Equals(round(1000 * PART)))
        self.assertThat(Pace(0.0).take(0.0, 1 << 30), Equals(0.0))


class TestLargeAnswers(testtools.TestCase):
    def test_whole_and_the_next_on_the_same_connection(self):
        """Its next request came while a pause after the last piece was kept: it was never read."""
        async def run():
            told = settings.parse({**TOLD, "caps": {"linkMbps": 100.0, "maxFds": 1000}})
            bounds = limits(told)
            body = bytes(range(256)) * 400

            def report(event):
                if type(event) is Asked:
                    front.answer(event.number, 200, body if event.path == "/large" else body[:SMALL], {"Worker-Seal": "x"})
            front, port = Front(bounds, report, Counts(), Pace(12_500_000.0)), free_port()
            front.listen(("127.0.0.1", port))
            got = []
            async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1),
                                             timeout=aiohttp.ClientTimeout(total=10)) as client:
                for path in "/large", "/small", "/large", "/large":
                    async with client.get(f"http://127.0.0.1:{port}{path}", headers={"Attempt-Id": "a"}) as answer:
                        got.append((answer.status, await answer.read() == (body if path == "/large" else body[:SMALL])))
            await front.close(asyncio.get_running_loop().time() + 1)
            return got, front.number
        self.assertThat(asyncio.run(run()), Equals(([(200, True)] * 4, 4)))
