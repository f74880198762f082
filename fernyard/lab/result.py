"""What a run of a scenario tells its gatekeepers and what it returns, the same for runs on sockets and on the
emulated clock. Free of I/O."""

from ..settings.operator import read_operator
from .loopback import HOST
from .rules import bound_of, check, cold_push, double_effects, windows

PLANS = [
    {"name": "small", "refill": 20.0, "burst": 20.0},
    {"name": "free"},
    {"name": "large", "refill": 400.0, "burst": 400.0},
]
ROUTES = ({"name": "look up", "semantics": "free"},)


def settings(scenario):
    """The settings block of each gatekeeper's configuration, as the protocol page gives it."""
    plans = [{"name": name, **told} for name, told in (scenario.plans or {}).items()] or PLANS
    timeout_ms = scenario.client_timeout * 1000
    routes = [route.model_dump() for route in scenario.routes] or ROUTES
    return {
        "allowed": {
            "mostTries": 3,
            "connIdleMs": 2000.0,
            "connectTimeoutMs": 100.0,
            "retryAfter": True,
            "maxRetryAfterMs": 500.0,
        },
        "balancers": scenario.gatekeepers,
        "membershipMode": "subscribe" if scenario.discovery else "automatic",
        "zones": sorted({w.zone for w in scenario.workers}),
        "zone": 0,
        "extra": {"mayCount": True, "maxUnits": 9, "counterTimeoutMs": 60.0},
        "classes": [{"aimMs": timeout_ms / 2, "hardLimitMs": timeout_ms, **route} for route in routes],
        "tariffs": plans,
        "rules": {
            "coldShare": min([0.2, *(w.cold_share for w in scenario.workers)]),
            "fallMultiple": 2.0,
            "warmUpMs": 1000.0 * max([1.0, *(w.warm_up for w in scenario.workers)]),
        },
    }


def configuration(scenario, seed, n, port, discovery, counter, entries):
    """The configuration of gatekeeper `n`, which listens on `port` of loopback; zones take turns."""
    told = settings(scenario)
    told["zone"] = n % len(told["zones"])
    return {
        "name": f"g{n}",
        "listen": f"{HOST}:{port}",
        "discovery": discovery,
        "seed": str(seed * 1000 + n),
        "limits": {"memory_mb": 256, "sockets": 1024},
        "counter": counter,
        "known": {"generation": 1, "reset": True, "instances": entries},
        "settings": told,
    }


def operator_of(scenario, planners=(), registry=f"{HOST}:1"):
    """The operator's file of each instance as read, or None; `planners`, `registry`: the addresses of the scenario's."""
    told = dict(scenario.operator or {})
    if scenario.registry == "eureka":
        told["eureka"] = {"url": f"http://{registry}/eureka", "apps": ["LAB"], **told.get("eureka", {})}
    if scenario.planners:
        told["forwarder"] = {
            **told.get("forwarder", {}),
            "planners": list(planners) or [f"{HOST}:{n + 1}" for n in range(scenario.planners)],
        }
    return read_operator(told, scenario.name) if told else None


def assemble(scenario, seed, count, recorder, dispatches, told, exits, models, calls, unix_start, restarts=()):
    """The result dict of a run: the verdict of the rules and the figures around it. `dispatches` maps a worker to
    its (seconds from the start, id, ...) list, `told` lists discovery's changes, `exits` what each gatekeeper did
    at its end, `models` the worker models, `calls` the counter calls of each gatekeeper; `unix_start` is when the
    load began (Unix seconds), `restarts` lists (seconds from the start, worker) of cold starts."""
    told_settings = settings(scenario)
    plans = {p["name"]: p for p in told_settings["tariffs"]}
    plans_of = {c.id: plans.get(c.plan) for c in scenario.customers}
    verdict = check(recorder.outcomes, dispatches, told, plans_of, scenario.duration)
    operator = operator_of(scenario)
    recovery = operator.recovery.settings() if operator and operator.recovery else None
    fallback = operator.forwarder.fallback if scenario.planners else None
    bounds_of = {
        c.id: bound_of(
            c,
            plans_of[c.id],
            scenario.faults,
            count,
            recovery,
            int(told_settings["extra"]["counterTimeoutMs"] * 10),
            fallback,
        )
        for c in scenario.customers
        if plans_of.get(c.id) and plans_of[c.id].get("refill")
    }
    verdict["windows"] = windows(recorder.outcomes, plans_of, unix_start, bounds_of)
    for customer, told_window in verdict["windows"].items():
        if told_window["most"] > told_window["bound"]:
            verdict["broken"].append(
                f"rule 5: {customer} passed {told_window['most']} units in a bucket, over the "
                f"bound of {told_window['bound']}"
            )
    groups = {w.name: {"zone": w.zone, "cell": w.cell, "all": 0} for w in scenario.workers}
    verdict["double"] = double_effects(recorder.outcomes, dispatches, told_settings["classes"], groups)
    if verdict["double"]:
        verdict["broken"].append(f"rule 2: {len(verdict['double'])} reqs, the first {verdict['double'][0]}")
    shapes = {w.name: w for w in scenario.workers}
    verdict["cold_push"] = cold_push(dispatches, restarts, shapes)
    if verdict["cold_push"] > told_settings["rules"]["fallMultiple"]:
        verdict["broken"].append(f"rule 4: a cold worker was pushed to {verdict['cold_push']:.2f} of its pace")
    if any(e["crashed"] or e["exit"] != 0 or e["faults"] for e in exits):
        verdict["broken"].append(f"a gatekeeper ended badly: {exits}")
    return {
        "scenario": scenario.name,
        "seed": seed,
        "gatekeepers": count,
        "verdict": verdict,
        "latency_s": recorder.percentiles(),
        "workers": {
            name: {"dispatches": len(dispatches[name]), "peak_busy": model.peak_busy, "turned_away": model.turned_away}
            for name, model in models.items()
        },
        "counter_calls": sum(calls),
        "counter_calls_by_gatekeeper": calls,
        "outcomes": [
            [round(o.sent, 3), o.kind, None if o.took is None else round(o.took, 4), o.status, o.customer]
            for o in sorted(recorder.outcomes, key=lambda o: (o.sent, o.cid))
        ],
        "simulated": True,
    }
