"""Routes and costs from an OpenAPI description: the reader, the matcher, and a gatekeeper that reads it in service."""

import asyncio
import copy
import itertools
import json
import logging
import random
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from hypothesis import given, settings as run, strategies as st

from fernyard.interface import Repeat
from fernyard.lab.scenario import load_scenario
from fernyard.lab.virtual import VirtualLab
from fernyard.node import Node
from fernyard.node.reducer import Reload
from fernyard.routes import BadDescription, Found, Operation, RouteTable, Variant, read_description, read_text
from fernyard.settings import BadSettings
from fernyard.settings.operator import load_operator
from tests.helper import CUSTOMER, HOST, PASSED, SETTINGS, Sockets, read_call, request

FRONTENDS = {"ficha": 0, "busqueda": 1, "reserva": 2}
REPEATS = [Repeat.REPLAYABLE, Repeat.REPLAYABLE, Repeat.UNIQUED]
EXAMPLE = read_text((Path(__file__).parent.parent / "deploy/examples/catalogo.yaml").read_text())


def table(told, most=9.0):
    return read_description(told, FRONTENDS, REPEATS, most)


def changed(*path, to=None, remove=False):
    """The example with one place changed."""
    told = copy.deepcopy(EXAMPLE)
    at = told
    for part in path[:-1]:
        at = at[part]
    if remove:
        del at[path[-1]]
    else:
        at[path[-1]] = to
    return told


def operation(path, method="GET", units=1.0, **other):
    template = tuple((part[1:-1],) if part.startswith("{") else part for part in path[1:].split("/"))
    return Operation(f"{method} {path}", method, template, "ficha", units, ("header", "X"), **other)


class Reading(unittest.TestCase):
    def test_the_example_is_read(self):
        told = table(EXAMPLE)
        found = told.find("GET", f"/v1/libros/buscar/{CUSTOMER}?q=a&sala=todas")
        self.assertEqual((found.operation.frontend, found.units, found.customer), ("busqueda", 4.0, CUSTOMER))
        self.assertEqual(told.find("GET", f"/v1/libros/978-1/{CUSTOMER}").units, 1.0)
        self.assertEqual(told.find("POST", f"/v1/reservas/{CUSTOMER}").operation.frontend, "reserva")

    def test_what_is_wrong_is_named_with_its_operation(self):
        search, card = ("paths", "/libros/buscar/{socio}"), ("paths", "/libros/{isbn}/{socio}")
        unfit = changed(*card, "get", "x-fernyard-class", to="reserva")
        del unfit["paths"]["/libros/{isbn}/{socio}"]["get"]["x-fernyard-repeat"]
        twice = copy.deepcopy(EXAMPLE)
        twice["paths"]["/libros/{otro}/{socio}"] = copy.deepcopy(twice["paths"]["/libros/{isbn}/{socio}"])
        twice["paths"]["/libros/{otro}/{socio}"]["parameters"][0]["name"] = "otro"
        for told, words in (
            (
                changed(*search, "get", "x-fernyard-units", remove=True),
                "GET /libros/buscar/{socio}: no x-fernyard-units",
            ),
            (changed(*search, "get", "x-fernyard-units", to=0), "GET /libros/buscar/{socio}: x-fernyard-units 0"),
            (changed(*search, "get", "x-fernyard-units", to=True), "x-fernyard-units True"),
            (changed(*search, "get", "x-fernyard-units", to=99), "at most 9"),
            (changed(*search, "get", "x-fernyard-class", to="nada"), "x-fernyard-class 'nada'"),
            (changed(*search, "get", "x-fernyard-class", remove=True), "no x-fernyard-class"),
            (changed(*card, "get", "x-fernyard-repeat", to="uniqued"), "but class ficha is replayable"),
            (unfit, "does not go with GET"),
            (changed(*search, "get", "x-fernyard-variants", 0, "units", to=1), "fewer than the 2"),
            (
                changed(*search, "get", "x-fernyard-variants", 0, "query", to="salon"),
                "no query parameter 'salon' is described",
            ),
            (changed("x-fernyard-customer", remove=True), "no x-fernyard-customer"),
            (changed("x-fernyard-customer", "name", to="nadie"), "no parameter 'nadie'"),
            (changed("openapi", to="2.0"), "3.0 and 3.1 are read"),
            (changed("info", remove=True), "'info' is a required property"),
            (changed(*search, "get", "responses", to=3), "get responses"),
            (changed("paths", to={}), "no operation"),
            (changed(*card, "get", "x-fernyard-worker-path", to="/x/{otro}"), "no parameter 'otro'"),
            (twice, "match the same paths"),
        ):
            with self.assertRaises(BadDescription) as caught:
                table(told)
            self.assertIn(words, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_what_could_swell_or_lead_out_of_the_file_is_refused(self):
        for text, words in (
            ("a: &x [1]\nb: *x", "aliases"),
            ("a: 1\na: 2", "stands twice"),
            ('{"a": 1, "a": 2}', "stands twice"),
            ("[" * 100_000, "nest"),
            ('{"a":' * 100_000, "nest"),
            ("x: " + "y" * (5 << 20), "over"),
            ("a: {$ref: 'http://far/away.yaml'}", "only references in the file"),
            ("- 1", "no object"),
            ("a: .inf", "a number that is none"),
            ("a: !!python/object:os.system x", "tag"),
            ("\x00", "control characters"),
            ("? [1]\n: 2", "line 1"),
        ):
            with self.assertRaises(BadDescription) as caught:
                read_text(text)
            self.assertIn(words, str(caught.exception), text[:40])
        round_about = changed("paths", "/libros/{isbn}/{socio}", to={"$ref": "#/paths/~1libros~1{isbn}~1{socio}"})
        with self.assertRaises(BadDescription):
            table(round_about)

    @run(max_examples=60, deadline=None, derandomize=True)
    @given(st.data())
    def test_a_mangled_description_is_read_or_refused(self, data):
        # The validator's own way through a document that is none raised KeyError and the like.
        told = copy.deepcopy(EXAMPLE)
        for _ in range(data.draw(st.integers(1, 3))):
            at, path = told, []
            while True:
                inner = list(at) if isinstance(at, dict) else list(range(len(at)))
                if not inner:
                    break
                path.append(data.draw(st.sampled_from(inner)))
                below = at[path[-1]]
                if not isinstance(below, (dict, list)) or data.draw(st.integers(0, 3)) == 0:
                    at[path[-1]] = data.draw(
                        st.sampled_from(
                            (None, -1, 1e400, "", "{", [], {}, True, {"$ref": "#/paths"}, {"$ref": 3}, [None], "/a/{b}")
                        )
                    )
                    break
                at = below
        try:
            self.assertIsInstance(table(told), RouteTable)
        except BadDescription as why:
            self.assertNotIn("\n", str(why))

    @run(max_examples=150, deadline=None, derandomize=True)
    @given(st.text(max_size=80) | st.text(alphabet="ab:-{}[]&*!?,\"' \n", max_size=60))
    def test_any_text_is_a_document_or_refused(self, text):
        try:
            self.assertIsInstance(read_text(text), dict)
        except BadDescription:
            pass


SEGMENTS = ("a", "b", "{x}", "{y}")


def by_hand(templates, path):
    """The reference: of all templates that fit, the one whose earliest literal wins, segment by segment."""
    parts, fit = path[1:].split("/"), []
    for template in templates:
        names = template[1:].split("/")
        if len(names) == len(parts) and all(
            name == part or name.startswith("{") and part for name, part in zip(names, parts)
        ):
            fit.append(([name.startswith("{") for name in names], template))
    return min(fit)[1] if fit else None


class Matching(unittest.TestCase):
    def test_a_literal_goes_before_a_parameter_and_back_where_it_leads_nowhere(self):
        told = RouteTable(
            [
                operation("/libros/{isbn}"),
                operation("/libros/buscar"),
                operation("/{sala}/buscar/todo"),
                operation("/libros/{isbn}/todo"),
            ]
        )

        def key(path, method="GET"):
            found = told.find(method, path)
            return found.operation.key if isinstance(found, Found) else found

        self.assertEqual(key("/libros/buscar"), "GET /libros/buscar")
        self.assertEqual(key("/libros/b%75scar"), "GET /libros/buscar")
        self.assertEqual(key("/libros/978"), "GET /libros/{isbn}")
        self.assertEqual(key("/libros/a%2Fb"), "GET /libros/{isbn}")
        self.assertEqual(key("/libros/buscar/todo"), "GET /libros/{isbn}/todo")
        self.assertEqual(key("/sur/buscar/todo"), "GET /{sala}/buscar/todo")
        self.assertEqual(key("/libros/978", "POST"), ("GET",))
        for nothing in ("/libros/", "/libros", "//", "/", "x", "/libros/978/", "/libros//todo", "/a" * 100):
            self.assertEqual(key(nothing), (), nothing)

    def test_the_dearest_variant_holds_however_it_is_spelt(self):
        told = RouteTable([operation("/q", variants=(Variant("modo", "completa", 5.0), Variant("texto", None, 3.0)))])
        for query, units in (
            ("", 1),
            ("?modo=simple", 1),
            ("?modo=completa", 5),
            ("?m%6Fdo=complet%61", 5),
            ("?modo=simple&modo=completa", 5),
            ("?texto", 3),
            ("?texto=&modo=completa", 5),
            ("?" + "&".join(f"a{n}=1" for n in range(100)), 5),
        ):
            self.assertEqual(told.find("GET", "/q" + query).units, units, query)

    def test_the_path_to_a_worker_may_be_another(self):
        told = RouteTable([operation("/libros/{isbn}", worker_path=("interno", "fichas", ("isbn",)))])
        self.assertEqual(told.find("GET", "/libros/a%2Fb%20c?x=%31").path, "/interno/fichas/a%2Fb%20c?x=%31")

    @run(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.lists(st.lists(st.sampled_from(SEGMENTS), min_size=1, max_size=4), max_size=12),
        st.lists(st.sampled_from(("a", "b", "c", "")), min_size=1, max_size=4),
    )
    def test_it_finds_what_the_reference_finds(self, templates, parts):
        unique = {}
        for template in templates:
            unique.setdefault(
                tuple("{}" if part.startswith("{") else part for part in template), "/" + "/".join(template)
            )
        found = RouteTable([operation(path) for path in unique.values()]).find("GET", "/" + "/".join(parts))
        self.assertEqual(
            found.operation.key[4:] if isinstance(found, Found) else None,
            by_hand(unique.values(), "/" + "/".join(parts)),
        )


def described(units):
    """The paths of the settings' own classes, as a description."""

    def item(method, of):
        return {
            "parameters": [{"name": "who", "in": "path", "required": True, "schema": {"type": "string"}}],
            method: {
                "x-fernyard-class": of,
                "x-fernyard-units": units,
                "responses": {"200": {"description": "served"}},
            },
        }

    return {
        "openapi": "3.0.3",
        "info": {"title": "t", "version": "1"},
        "x-fernyard-customer": {"in": "path", "name": "who"},
        "paths": {"/look up/{who}": item("get", "look up"), "/keep/{who}": item("post", "keep")},
    }


class Decisions(unittest.TestCase):
    def test_described_routes_give_the_decisions_of_hand_written_ones(self):
        # The same seeded stream on the emulated clock: every answer, denial and time-out in its order and moment.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        scenario = load_scenario("worker-trouble")
        doc = described(1)
        del doc["paths"]["/keep/{who}"]
        routes = read_description(doc, {"look up": 0}, [Repeat.REPLAYABLE], 9.0)
        by_hand_run, derived, dearer = VirtualLab(scenario, 3), VirtualLab(scenario, 3, routes=routes), None
        one, two = by_hand_run.run(), derived.run()
        self.assertEqual(by_hand_run.log, derived.log)
        self.assertEqual(one["counts"], two["counts"])
        self.assertGreater(one["verdict"]["kinds"]["denied"], 50)
        doc["paths"]["/look up/{who}"]["get"]["x-fernyard-units"] = 2
        dearer = VirtualLab(scenario, 3, routes=read_description(doc, {"look up": 0}, [Repeat.REPLAYABLE], 9.0)).run()
        self.assertGreater(dearer["verdict"]["kinds"]["denied"], one["verdict"]["kinds"]["denied"])


class Serving(Sockets):
    async def start(self, doc, counter, worker, **section):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "routes.json"
        self.file.write_text(json.dumps(doc))
        operator = Path(folder.name) / "operator.json"
        operator.write_text(json.dumps({"routes": {"file": "routes.json", **section}} if doc else {}))
        extra = {**SETTINGS["extra"], "counterTimeoutMs": 10_000.0}
        classes = [{**told, "aimMs": 20_000.0, "hardLimitMs": 20_000.0} for told in SETTINGS["classes"]]
        silent = await self.stand_in(lambda message: None)
        entries = [
            {
                "instanceId": "s-0",
                "hostPort": f"{HOST}:{worker.port}",
                "zone": "here",
                "cell": 1,
                "lifecycle": "ready",
                "startedAtMs": 0,
            }
        ]
        config = self.config(
            workers=entries,
            discovery=silent.port,
            counter=counter.port,
            settings={**SETTINGS, "extra": extra, "classes": classes},
        )
        config = replace(config, listen=(HOST, 0))
        node = Node(config, lambda: config, load_operator(operator))
        self.running = asyncio.get_running_loop().create_task(node.run())
        self.addAsyncCleanup(self.end, self.running)
        await self.until(
            lambda: (
                node.clients.connections
                and node.clients.connections.listener
                and all(link.transport for link in node.counter.links)
            )
        )
        node.port = node.clients.connections.listener.getsockname()[1]
        return node

    async def reload(self, node, text, kind):
        before = node.counts.read().get(f"routes.{kind}", 0)
        self.file.write_text(text)
        node.post(Reload())
        await self.until(lambda: node.counts.read().get(f"routes.{kind}", 0) > before)

    async def test_a_cost_changed_with_reqs_in_flight_leaves_each_at_its_own(self):
        free, totals = asyncio.Event(), iter([b"9", b"9"])

        async def over(message):
            # The first req waits for its total while the cost changes, and is then denied: what it added goes off.
            if float(message[2]) > 0:
                await free.wait()
            return b"$1\r\n%s\r\n" % next(totals, b"9")

        counter = await self.stand_in(over, read=read_call)
        worker = await self.stand_in(lambda message: PASSED)
        node = await self.start(described(1), counter, worker)
        told = dict(Plan="small", X_Time_Left="20", Quota_Info="units=7,spread=1,first=0")
        first = asyncio.create_task(self.ask(node, request(**told)))
        await self.until(lambda: counter.messages)
        await self.reload(node, json.dumps(described(3)), "read")
        second = asyncio.create_task(self.ask(node, request("/look%20up/00000000b4d65522", **told)))
        await self.until(lambda: len(counter.messages) == 2)
        free.set()
        self.assertEqual([(await task)[0] for task in (first, second)], [429, 429])
        await self.until(lambda: len([m for m in counter.messages if float(m[2]) < 0]) == 2)
        amounts = {}
        for message in counter.messages:
            if float(message[2]):
                amounts.setdefault(int(message[1]) & (1 << 33) - 1, []).append(float(message[2]))
        # By the description, not by the client's word; and each at one price.
        self.assertEqual(amounts, {int(CUSTOMER, 16): [1.0, -1.0], int("b4d65522", 16): [3.0, -3.0]})

    async def test_on_sockets_described_and_hand_written_routes_decide_alike(self):
        # A seeded stream, one req after another; the counter's totals go by the number of the add, not by time.
        lines = []
        for doc in (described(1), None):
            adds = itertools.count()

            def total(message, adds=adds):
                return b"$3\r\n%3d\r\n" % (100 if float(message[2]) > 0 and next(adds) % 3 == 0 else 1)

            counter = await self.stand_in(total, read=read_call)
            worker = await self.stand_in(lambda message: PASSED)
            node = await self.start(doc, counter, worker)
            rng, told = random.Random(7), []
            for n in range(60):
                plan, who = rng.choice(("small", "large", "free")), f"{rng.randrange(1 << 33):016x}"
                path, method, key = rng.choice(
                    (("/look%20up", "GET", None), ("/keep", "POST", f"k{n}"), ("/no", "GET", None))
                )
                headers = dict(Plan=plan, X_Correlation_Id=f"{doc is None}{n}", X_Time_Left="20")
                status, _, _ = await self.ask(
                    node, request(f"{path}/{who}?q={n}", method, Idempotency_Key=key, **headers)
                )
                told.append(
                    f"{method} {path} {plan}: {status}, workers {len(worker.messages)}, adds "
                    f"{[float(m[2]) for m in counter.messages if float(m[2]) > 0][-1:]}"
                )
            told += [f"{start} {headers.get('Idempotency-Key')}" for start, headers, _ in worker.messages]
            lines.append(told)
        self.assertEqual(lines[0], lines[1])
        statuses = [line.split(": ")[1][:3] for line in lines[0][:60]]
        self.assertEqual(sorted(dict.fromkeys(statuses)), ["200", "404", "429"])

    async def test_a_bad_description_keeps_the_old_and_what_matches_nothing_is_no_cheap_req(self):
        counter = await self.stand_in(lambda message: b"$1\r\n1\r\n", read=read_call)
        worker = await self.stand_in(lambda message: PASSED)
        node = await self.start(described(1), counter, worker)
        without = described(1)
        del without["paths"]["/look up/{who}"]["get"]["x-fernyard-units"]
        for text in ("{", json.dumps(without), json.dumps(described(99)), "[" * 3000):
            await self.reload(node, text, "failed")
        statuses = [
            (await self.ask(node, data))[0]
            for data in (request(), request(f"/ficha/{CUSTOMER}"), request(method="POST"), request("/look%20up/nobody"))
        ]
        self.assertEqual((statuses, len(worker.messages)), ([200, 404, 405, 400], 1))

    async def test_the_unmatched_may_count_as_the_dearest(self):
        counter = await self.stand_in(lambda message: b"$1\r\n1\r\n", read=read_call)
        worker = await self.stand_in(lambda message: PASSED)
        node = await self.start(described(1), counter, worker, unmatched={"class": "look up", "units": 9})
        self.assertEqual((await self.ask(node, request(f"/otro/x/{CUSTOMER}", Plan="large")))[0], 200)
        self.assertEqual(
            (float(counter.messages[0][2]), worker.messages[0][0]), (9.0, f"GET /otro/x/{CUSTOMER} HTTP/1.1")
        )

    async def test_a_description_that_cannot_be_used_stops_the_start(self):
        with self.assertRaises(BadSettings):
            await self.start({"openapi": "3.1.0"}, await self.stand_in(None), await self.stand_in(None))


if __name__ == "__main__":
    unittest.main()
