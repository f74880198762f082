"""How fast reqs are matched to operations and what that adds to reading a req: tables of many operations, paths drawn
from a seed. Times are of this machine."""

import random
import time

from multidict import CIMultiDict

from ..clients.read import Reader
from ..routes import Operation, RouteTable, Variant
from ..settings import read_config
from .result import configuration
from .scenario import load_scenario


def table_of(count):
    """A table of `count` operations of the shapes that catalogues have: literals, parameters, variants."""
    operations = []
    for n in range(count):
        kind, of = n % 3, f"r{n // 3}"
        template = ((of, ("who",)), (of, "buscar", ("who",)), (of, ("id",), "partes", ("who",)))[kind]
        variants = (Variant("modo", "completa", 5.0), Variant("texto", None, 3.0)) if kind == 1 else ()
        operations.append(Operation(f"GET {n}", "GET", template, "look up", 1.0, ("path", "who"), variants))
    return RouteTable(operations)


def paths_of(count, number, seed=1):
    rng, paths = random.Random(seed), []
    for _ in range(number):
        n = rng.randrange(count)
        of, who = f"r{n // 3}", f"{rng.getrandbits(33) % (1 << 33):016x}"
        paths.append((f"/{of}/{who}", f"/{of}/buscar/{who}?q=a&modo=completa", f"/{of}/978-{n}/partes/{who}")[n % 3])
    return paths


def measure(counts=(10, 100, 1000), number=20_000):
    """Rows (operations, matches a second, microseconds a match, microseconds to read a req with and without a table)."""
    scenario = load_scenario("calm")
    config = read_config(configuration(scenario, 1, 0, 1, "127.0.0.1:1", "127.0.0.1:1", []))
    headers = CIMultiDict(
        {"X-Correlation-Id": "a", "Plan": "large", "X-Time-Left": "0.48", "Quota-Info": "units=1,spread=1,first=0"}
    )
    plain = Reader(config)
    rows = []
    for count in counts:
        routes, paths = table_of(count), paths_of(count, number)
        reader = Reader(config, routes)
        by_hand = [f"/look%20up/{path.partition('?')[0].rpartition('/')[2]}" for path in paths]
        timed = []
        for call, given in (
            (lambda path: routes.find("GET", path), paths),
            (lambda path: reader.read("GET", path, headers), paths),
            (lambda path: plain.read("GET", path, headers), by_hand),
        ):
            best = None
            for _ in range(3):
                began = time.perf_counter()
                for path in given:
                    call(path)
                took = (time.perf_counter() - began) / number
                best = took if best is None else min(best, took)
            timed.append(best)
        rows.append((count, round(1 / timed[0]), *(round(took * 1e6, 2) for took in timed)))
    return rows
