"""The open-loop load tool: arrivals drawn from the seed before the run, sent on time whether or not answers
have come (a closed loop would slow down with the gatekeepers and hide their trouble), each recorded once.

`arrivals(scenario, seed)` is free of I/O: the same seed gives the same reqs at the same offsets, to the same
gatekeepers. `play(...)` sends them over aiohttp and returns `Outcome`s with latency histograms
(hdrhistogram).
"""

import asyncio
import random
from dataclasses import dataclass

import aiohttp
from hdrh.histogram import HdrHistogram

from .rules import Outcome

GRACE = 0.5  # an answer this long after the client timeout is still waited for, and counted late


@dataclass(frozen=True, slots=True)
class Arrival:
    at: float  # seconds from the start of the load
    cid: str
    customer: str
    plan: str
    units: float
    route: str
    gatekeeper: int
    free: bool = True  # its route is safe to repeat: a GET


def arrivals(scenario, seed):
    """Every req of the run, in order of time. Poisson arrivals per customer at its rate, times its bursts."""
    rng = random.Random(f"fernyard-lab:{seed}:{scenario.name}")
    out = []
    for customer in scenario.customers:
        at = 0.0
        while True:
            factor = next((b.factor for b in customer.bursts if b.at <= at < b.at + b.length), 1.0)
            at += rng.expovariate(customer.rate * factor)
            if at >= scenario.duration:
                break
            out.append((at, customer))
    out.sort(key=lambda pair: (pair[0], pair[1].id))
    bound = {route.name for route in scenario.routes if route.semantics != "free"}
    return [
        Arrival(
            round(at, 6),
            f"{rng.getrandbits(64):016x}",
            c.id,
            c.plan,
            c.units,
            c.route,
            n % scenario.gatekeepers,
            c.route not in bound,
        )
        for n, (at, c) in enumerate(out)
    ]


def request_headers(arrival, timeout, gatekeepers):
    return {
        "X-Correlation-Id": arrival.cid,
        "Plan": arrival.plan,
        "X-Time-Left": f"{timeout:.3f}",
        "Quota-Info": f"units={arrival.units:g},spread={gatekeepers},first=0",
        **({} if arrival.free else {"Idempotency-Key": f"k-{arrival.cid}"}),
    }


class Recorder:
    """Outcomes and latency histograms (microseconds, 1 us to 60 s, 3 digits) by kind."""

    def __init__(self):
        self.outcomes, self.histograms = [], {}

    def add(self, outcome):
        self.outcomes.append(outcome)
        if outcome.took is not None:
            histogram = self.histograms.setdefault(outcome.kind, HdrHistogram(1, 60_000_000, 3))
            histogram.record_value(max(1, int(outcome.took * 1e6)))

    def percentiles(self):
        return {
            kind: {f"p{p:g}": h.get_value_at_percentile(p) / 1e6 for p in (50, 90, 99, 99.9)}
            for kind, h in sorted(self.histograms.items())
        }


async def at_offset(start, offset):
    """Sleeps until `offset` seconds after `start` on the running loop's clock; at once if that has passed."""
    wait = start + offset - asyncio.get_running_loop().time()
    if wait > 0:
        await asyncio.sleep(wait)


async def play(scenario, seed, addresses, connections=256):
    """Sends every arrival to `addresses[arrival.gatekeeper]` at its time; returns the Recorder. A caller's
    fault timeline runs beside this on the same clock."""
    loop = asyncio.get_running_loop()
    recorder, start = Recorder(), loop.time()
    timeout = scenario.client_timeout
    connector = aiohttp.TCPConnector(limit=connections, force_close=False)
    async with aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=timeout + GRACE),
    ) as session:

        async def one(arrival):
            route = arrival.route.replace(" ", "%20")
            url = f"http://{addresses[arrival.gatekeeper]}/{route}/{arrival.customer}"
            sent = loop.time()
            took, status = None, 0
            try:
                async with session.request(
                    "GET" if arrival.free else "POST",
                    url,
                    headers=request_headers(arrival, timeout, scenario.gatekeepers),
                ) as r:
                    await r.read()
                    took, status = loop.time() - sent, r.status
            except (aiohttp.ClientError, TimeoutError, OSError):
                took = None if loop.time() - sent >= timeout + GRACE - 0.01 else loop.time() - sent
            recorder.add(
                Outcome(
                    arrival.cid, arrival.customer, arrival.units, sent - start, took, status, timeout, arrival.route
                )
            )

        tasks = []
        for arrival in arrivals(scenario, seed):
            await at_offset(start, arrival.at)
            tasks.append(loop.create_task(one(arrival)))
        await asyncio.gather(*tasks)
    return recorder


async def hostile(address, kind, connections, length, gatekeepers=1):
    """Clients that do the gatekeeper no good, for `length` seconds: `connections` sockets to `address` that
    send nothing ("silent", a slowloris) or a req's head a byte at a time, one byte every 0.2 s ("trickle").
    Returns how many the gatekeeper closed before the end, and how many could not connect at all."""
    loop = asyncio.get_running_loop()
    end = loop.time() + length
    host, _, port = address.rpartition(":")
    head = (
        f"GET /look%20up/00000000000000ff HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: {0:016x}\r\n"
        f"Plan: free\r\nX-Time-Left: 0.480\r\nQuota-Info: units=1,spread={gatekeepers},first=0\r\n\r\n"
    )

    async def one():
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return "refused"
        try:
            sent = 0
            while loop.time() < end:
                if kind == "trickle" and sent < len(head):
                    writer.write(head[sent].encode())
                    sent += 1
                try:
                    if await asyncio.wait_for(reader.read(4096), 0.2) == b"":
                        return "closed"
                except TimeoutError:
                    pass
            return "held"
        except OSError:
            return "closed"
        finally:
            writer.close()

    ends = await asyncio.gather(*(one() for _ in range(connections)))
    return {kind: ends.count(kind) for kind in ("closed", "held", "refused")}
