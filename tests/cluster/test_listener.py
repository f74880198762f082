"""Large answers over a narrow link, on sockets of the loopback address: whole, one behind the other, on one connection."""

import asyncio

import aiohttp
import testtools
from testtools.matchers import Equals

from fernyard.cluster.common import settings
from fernyard.cluster.data_plane.events import RequestArrived
from fernyard.cluster.data_plane.limits import limits, request_budget
from fernyard.cluster.data_plane.listener import ClientListener
from fernyard.cluster.data_plane.pacing import LINK_FRACTION, SMALL_ANSWER, Pacer
from fernyard.lab.runner import free_port
from fernyard.log import Counts

from .test_configuration import SETTINGS_FIELDS


class TestPace(testtools.TestCase):
    def test_all_large_answers_together_get_their_part(self):
        pace, now = Pacer(1000.0), 0.0
        for _ in range(10):  # two at a time, each as fast as it may
            waits = [pace.delay_after(now, 100), pace.delay_after(now, 100)]
            now += max(waits)
        self.assertThat(round(2000 / now), Equals(round(1000 * LINK_FRACTION)))
        self.assertThat(Pacer(0.0).delay_after(0.0, 1 << 30), Equals(0.0))


class TestLargeAnswers(testtools.TestCase):
    def test_whole_and_the_next_on_the_same_connection(self):
        """Its next request came while a pause after the last piece was kept: it was never read."""

        async def run():
            told = settings.parse({**SETTINGS_FIELDS, "caps": {"linkMbps": 100.0, "maxFds": 1000}})
            bounds = limits(told)
            body = bytes(range(256)) * 400

            def report(event):
                if type(event) is RequestArrived:
                    front.answer(
                        event.number, 200, body if event.path == "/large" else body[:SMALL_ANSWER], {"Worker-Seal": "x"}
                    )

            front, port = (
                ClientListener(bounds, report, Counts(), Pacer(12_500_000.0), request_budget(told)),
                free_port(),
            )
            front.listen(("127.0.0.1", port))
            got = []
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1), timeout=aiohttp.ClientTimeout(total=10)
            ) as client:
                for path in "/large", "/small", "/large", "/large":
                    async with client.get(f"http://127.0.0.1:{port}{path}", headers={"Attempt-Id": "a"}) as answer:
                        got.append(
                            (answer.status, await answer.read() == (body if path == "/large" else body[:SMALL_ANSWER]))
                        )
            await front.close(asyncio.get_running_loop().time() + 1)
            return got, front.number

        self.assertThat(asyncio.run(run()), Equals(([(200, True)] * 4, 4)))
