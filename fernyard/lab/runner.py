"""Plays a scenario: emulated workers, counter and discovery in this process, real gatekeepers (`fernyard
serve`) as processes beside it, the open-loop load, the fault timeline; then the rules are checked and a JSON
result written. All addresses are on loopback; the run is bounded by the scenario's duration and `most_reqs`.

The lab is no part of the gatekeeper's run: here processes are started, which `run` on the platform never
does.
"""

import asyncio
import ctypes
import json
import os
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from .. import __name__ as package
from .counter import CounterStore, EmulatedCounter
from .discovery import EmulatedDiscovery
from .eureka import EmulatedEureka
from .load import at_offset, hostile, play
from .loopback import HOST
from .model import Fault, Shape
from .result import assemble, configuration, operator_of
from .scenario import BadScenario, parse_told
from .worker import EmulatedWorker

PR_SET_PDEATHSIG = 1


def end_with_parent(number=signal.SIGTERM):
    """Run in each gatekeeper's process before it starts: it is sent that signal when the lab ends, however
    the lab ends (a lab killed half-way left its gatekeepers running). Linux only; elsewhere nothing is
    done."""
    try:
        libc = ctypes.CDLL(None, use_errno=True)
        libc.prctl(PR_SET_PDEATHSIG, number)
    except (OSError, AttributeError):
        pass


def _cpu(used):
    return used.ru_utime + used.ru_stime


def _counts(told):
    """The counts an instance printed last, from its log lines."""
    lines = [line for line in told.decode(errors="replace").splitlines() if "event=counts" in line]
    fields = (field.partition("=") for field in lines[-1].split()) if lines else ()
    return {name: int(value) for name, _, value in fields if value.isdigit()}


def free_port():
    """A port that nobody listens on, below those that the system gives to outgoing connections: one of these was taken by a
    connection of another process between this look and the start of who was to listen."""
    for _ in range(1000):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, random.SystemRandom().randrange(12_000, 32_000)))
                return probe.getsockname()[1]
            except OSError:
                continue
    raise RuntimeError("no port is free")


class Lab:
    """One run of one scenario with one seed; `run()` returns the result dict."""

    def __init__(self, scenario, seed, gatekeepers=None, progress=None):
        self.scenario, self.seed = scenario, seed
        self.count = gatekeepers or scenario.gatekeepers
        # Checked again with its count: a step may name a gatekeeper's view of the counter.
        self.scenario = parse_told({**scenario.model_dump(), "gatekeepers": self.count}, scenario.name)
        self.progress = progress or (lambda words: None)
        self.workers, self.processes, self.snapshot = {}, [], {}
        self.restarts, self.begun, self.split = [], 0.0, {}
        self.printed = {}
        self.planners, self.planner_faces, self.operator = [], [], None
        if self.scenario.event_cost_ms or any(
            step.target.startswith("planner:") and step.fault == "slow" for step in self.scenario.faults
        ):
            raise BadScenario(
                f"{scenario.name}: a slow planner and the cost of events are played on the emulated clock alone"
            )

    def configuration(self, n, port):
        entries = [
            {
                "instanceId": told.name,
                "hostPort": self.workers[told.name].address,
                "zone": told.zone,
                "cell": told.cell,
                "lifecycle": "ready",
                "startedAtMs": 0,
            }
            for told in self.scenario.workers
            if self.scenario.registry == "discovery"  # a registry names workers by ids of its own
        ]
        return configuration(self.scenario, self.seed, n, port, self.discovery.address, self.faces[n].address, entries)

    async def start(self, folder):
        self.folder = folder
        # One face of the counter for each gatekeeper, all on one store: a face can be cut off (a partition:
        # some gatekeepers see the counter, others do not) or given a store of its own (two halves of the
        # fleet that each see a different counter).
        self.store = CounterStore()
        self.faces = [await EmulatedCounter(store=self.store).start() for _ in range(self.count)]
        emulated = EmulatedEureka if self.scenario.registry == "eureka" else EmulatedDiscovery
        self.discovery = await emulated().start()
        for told in self.scenario.workers:
            shape = Shape(told.places, told.queue, told.mean, told.sigma, told.cold_share, told.warm_up)
            worker = await EmulatedWorker(told.name, self.seed, shape).start()
            self.workers[told.name] = worker
            self.discovery.change(told.name, worker.address, zone=told.zone, cell=told.cell)
        self.ports = [free_port() for _ in range(self.count)]
        self.addresses = [f"{HOST}:{port}" for port in self.ports]
        await self._start_planners(folder)
        for n in range(self.count):
            self.processes.append(await self._start_gatekeeper(folder, n))
        await self._healthy(self.addresses)

    async def _start_planners(self, folder):
        """Planners first, so that forwarders find them; each sees the counter through a face of its own."""
        self.planner_ports = [free_port() for _ in range(self.scenario.planners)]
        self.planner_faces = [await EmulatedCounter(store=self.store).start() for _ in self.planner_ports]
        operator = operator_of(self.scenario, [f"{HOST}:{port}" for port in self.planner_ports], self.discovery.address)
        self.operator = Path(folder) / "operator.json" if operator else None
        if operator:
            self.operator.write_text(operator.model_dump_json(exclude_none=True))
        for n in range(self.scenario.planners):
            self.planners.append(await self._start_planner(folder, n))
        if self.planners:
            await self._healthy([f"{HOST}:{port}" for port in self.planner_ports])

    async def _start_planner(self, folder, n):
        told = configuration(
            self.scenario,
            self.seed,
            n,
            self.planner_ports[n],
            self.discovery.address,
            self.planner_faces[n].address,
            [],
        )
        return await self._start_process(folder, f"p{n}", told, "planner")

    async def _start_gatekeeper(self, folder, n):
        return await self._start_process(
            folder,
            f"g{n}",
            self.configuration(n, self.ports[n]),
            "forwarder" if self.scenario.planners else "gatekeeper",
        )

    async def _start_process(self, folder, name, told, role):
        path = Path(folder) / f"{name}.json"
        path.write_text(json.dumps(told))
        environment = {**os.environ, "EDGE_CONFIG": str(path)}
        command = [sys.executable, "-B", "-m", package, "serve", "--role", role]
        if self.operator:
            command += ["--operator", str(self.operator)]
        # Errors to a file, not a pipe: a pipe nobody reads during a long run fills and stops the process.
        with open(Path(folder) / f"{name}.log", "ab") as errors:
            return await asyncio.create_subprocess_exec(
                *command,
                env=environment,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=errors,
                preexec_fn=end_with_parent,
            )

    async def _healthy(self, addresses, within=20.0):
        end = time.monotonic() + within
        async with aiohttp.ClientSession() as session:
            for address in addresses:
                while True:
                    try:
                        async with session.get(f"http://{address}/healthz") as answer:
                            if answer.status == 200:
                                break
                    except aiohttp.ClientError:
                        pass
                    if time.monotonic() > end:
                        raise RuntimeError(f"gatekeeper at {address} did not become healthy")
                    await asyncio.sleep(0.05)

    async def apply(self, step, ending=False):
        target, fault = step.target, step.fault
        if target == "counter" or target.startswith("counter:"):
            faces = [*self.faces, *self.planner_faces] if target == "counter" else [self.faces[int(target[8:])]]
            mode = "up" if ending else fault
            if mode == "split":
                # One store for all faces that split off at one moment: they are one half of the fleet.
                other = self.split.setdefault((step.at, step.until), CounterStore())
                for face in faces:
                    face.store = other
            elif mode == "up" and fault == "split":
                for face in faces:
                    face.store = self.store
            elif mode == "mark":
                self.snapshot = self.store.snapshot()
            elif mode == "fresh":
                self.store.forget()
            elif mode == "stale":
                self.store.restore(self.snapshot)
            else:
                for face in faces:
                    await face.set_mode(mode, step.delay)
        elif target.startswith("discovery:"):
            name = target.partition(":")[2]
            lifecycle = {"drain": "draining", "gone": "gone", "back": "ready"}[fault]
            told = next(w for w in self.scenario.workers if w.name == name)
            self.discovery.change(
                name, self.workers[name].address, "ready" if ending else lifecycle, told.zone, told.cell
            )
            if fault == "drain" and not ending:
                await self.workers[name].set_fault(Fault.DRAIN)
            elif ending:
                await self.workers[name].set_fault(Fault.NONE)
        elif target == "registry":
            await self.discovery.set_fault("none" if ending else fault, step.delay)
        elif target.startswith("planner:"):
            await self._planner(int(target.partition(":")[2]), fault, ending)
        elif target.startswith("gatekeeper:"):
            n = int(target.partition(":")[2])
            if ending:
                self.processes[n] = await self._start_gatekeeper(self.folder, n)
                await self._healthy([self.addresses[n]])
            else:
                self.processes[n].kill()
                await self.processes[n].wait()
        elif fault == "restart":
            await self.workers[target].restart()
            self.restarts.append((asyncio.get_running_loop().time() - self.begun, target))
            told = next(w for w in self.scenario.workers if w.name == target)
            self.discovery.change(
                target, self.workers[target].address, zone=told.zone, cell=told.cell, started_ms=int(time.time() * 1000)
            )
        else:
            await self.workers[target].set_fault(Fault.NONE if ending else fault)
        self.progress(f"{'end of ' if ending else ''}{fault} at {target}")

    async def _planner(self, n, fault, ending):
        """Killed and started anew, or stopped (its connections stay open and nothing is answered) and continued."""
        process = self.planners[n]
        if fault == "silent":
            process.send_signal(signal.SIGCONT if ending else signal.SIGSTOP)
        elif ending:
            self.planners[n] = await self._start_planner(self.folder, n)
            # Up before the run goes on: one told to end while it starts would end by the signal.
            await self._healthy([f"{HOST}:{self.planner_ports[n]}"])
        else:
            process.kill()
            await process.wait()

    async def timeline(self, start):
        events = sorted(
            [(s.at, n, s, False) for n, s in enumerate(self.scenario.faults)]
            + [(s.until, n, s, True) for n, s in enumerate(self.scenario.faults) if s.until]
        )
        for at, _, step, ending in events:
            await at_offset(start, at)
            await self.apply(step, ending)

    async def _hostile(self, start, bad):
        await at_offset(start, bad.at)
        address = self.addresses[bad.gatekeeper]
        told = await hostile(address, bad.kind, bad.connections, bad.length, self.count)
        return {"kind": bad.kind, "connections": bad.connections, **told}

    async def stop(self, folder):
        """Ends every gatekeeper by SIGTERM (SIGKILL after 10 s) and every stand-in; what each gatekeeper
        did at its end: its exit code, and whether it printed a traceback."""
        errors = []
        killed = {step.target for step in self.scenario.faults if step.fault == "kill" and not step.until}
        named = [(f"gatekeeper:{n}", f"g{n}", process) for n, process in enumerate(self.processes)]
        named += [(f"planner:{n}", f"p{n}", process) for n, process in enumerate(self.planners)]
        for _, _, process in named:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for target, name, process in named:
            try:
                await asyncio.wait_for(process.wait(), 10)
            except TimeoutError:
                process.kill()
                await process.wait()
            told = (Path(folder) / f"{name}.log").read_bytes()
            # A fault the gatekeeper caught and logged is a defect too, though it went on.
            errors.append(
                {
                    "exit": 0 if target in killed else process.returncode,
                    "crashed": b"Traceback" in told,
                    "faults": told.count(b"level=error"),
                }
            )
            self.printed[name] = _counts(told)
        for worker in self.workers.values():
            await worker.close()
        for face in (*getattr(self, "faces", ()), *self.planner_faces):
            await face.close()
        if getattr(self, "discovery", None) is not None:
            await self.discovery.close()
        return errors

    async def run(self):
        with tempfile.TemporaryDirectory(prefix="fernyard-lab-") as folder:
            try:
                await self.start(folder)
                self.progress(
                    f"{self.count} gatekeepers, {len(self.workers)} workers; load for {self.scenario.duration:g} s"
                )
                loop = asyncio.get_running_loop()
                self.begun = start = loop.time()
                unix, used = time.time(), resource.getrusage(resource.RUSAGE_SELF)
                faults = loop.create_task(self.timeline(start))
                rude = [loop.create_task(self._hostile(start, bad)) for bad in self.scenario.hostile]
                recorder = await play(self.scenario, self.seed, self.addresses)
                await faults
                held = [await task for task in rude]
                wall, lab = loop.time() - start, _cpu(resource.getrusage(resource.RUSAGE_SELF)) - _cpu(used)
            finally:
                children = _cpu(resource.getrusage(resource.RUSAGE_CHILDREN))
                exits = await self.stop(folder)
            # Processor time of the gatekeepers, from their start to their end, as the system counted it.
            gatekeepers = _cpu(resource.getrusage(resource.RUSAGE_CHILDREN)) - children
        dispatches = {name: [(at - start, *rest) for at, *rest in w.dispatches] for name, w in self.workers.items()}
        told = [
            (at - start, generation, worker, lifecycle)
            for at, generation, worker, lifecycle in self.discovery.told
            if at >= start
        ]
        return {
            **assemble(
                self.scenario,
                self.seed,
                self.count,
                recorder,
                dispatches,
                told,
                exits,
                {name: w.model for name, w in self.workers.items()},
                [face.calls for face in (*self.faces, *self.planner_faces)],
                unix,
                self.restarts,
            ),
            "registry_calls": getattr(self.discovery, "calls", None),
            "instances": self.printed,  # what each printed of its counts at its end
            "planner_asks": [self.printed[f"p{n}"].get("asks", 0) for n in range(len(self.planners))],
            "hostile": held,
            # What the run cost this machine: the lab's own processor time beside the gatekeepers'.
            "cost": {
                "wall_s": round(wall, 3),
                "lab_cpu_s": round(lab, 3),
                "gatekeepers_cpu_s": round(gatekeepers, 3),
                "lab_core_share": round(lab / wall, 3),
                "reqs_per_s": round(len(recorder.outcomes) / wall, 1),
            },
        }


def verdict_line(result):
    """One line that two runs of the same seed should share: rules kept or broken, served share to 2
    digits."""
    verdict = result["verdict"]
    rules = "rules kept" if not verdict["broken"] else "; ".join(verdict["broken"])
    return f"{result['scenario']} seed {result['seed']}: {rules}; served {verdict['served_share']:.2f}"
