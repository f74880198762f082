"""Weighted max-min fairness over several bottlenecks at once, by progressive filling (Bertsekas and Gallager, Data Networks,
1992, section 6.5.2): all flows grow together, each by its weight, until one has what it asked for or a bottleneck it goes
through is full; those stay, the others grow on. Kept of it: the order in which flows stop. Changed: flows begin at rates that
they have already, and guaranteed parts are filled before the rest. Free of I/O."""

MARGIN = 1e-9


def fill(demands, weights, through, capacity, start=None):
    """flow -> rate. `demands`, `weights`: by flow; `through`: flow -> the bottlenecks it goes through; `capacity`: by
    bottleneck; `start`: rates that flows have already, which are never lowered (and may overfill a bottleneck by themselves:
    then nothing more goes through it). Flows are taken in their order, so that all who fill the same get the same."""
    rates = {flow: (start or {}).get(flow, 0.0) for flow in demands}
    left = dict(capacity)
    for flow, rate in rates.items():
        for bottleneck in through[flow]:
            left[bottleneck] -= rate
    active = [
        flow
        for flow in demands
        if demands[flow] > rates[flow] + MARGIN and weights[flow] > 0.0 and all(left[b] > MARGIN for b in through[flow])
    ]
    while active:
        load = {}
        for flow in active:
            for bottleneck in through[flow]:
                load[bottleneck] = load.get(bottleneck, 0.0) + weights[flow]
        level = min(
            min((demands[flow] - rates[flow]) / weights[flow] for flow in active),
            min(left[bottleneck] / told for bottleneck, told in load.items()),
        )
        for flow in active:
            rates[flow] += level * weights[flow]
        for bottleneck, told in load.items():
            left[bottleneck] -= level * told
        active = [
            flow
            for flow in active
            if demands[flow] > rates[flow] + MARGIN
            and all(left[b] > MARGIN * max(1.0, capacity[b]) for b in through[flow])
        ]
    return rates
