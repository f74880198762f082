"""The planners of the agreed order beside an emulated fleet (`virtual.py`): their models, on links that lose nothing. What
happens to them when links and planners fail is played by `agreement.py`."""

from ..accord.follower import Answered
from ..accord.planner import Agreed, Followed, OrderPlanner, PlannerSettings, Reply, Summary, Tell
from ..accord.register import Beat, Heard, Send, Store, Stored

HOP = 3


class OrderPlanners:
    """`lab`: a `VirtualLab` whose operator's file has `[accord]`."""

    def __init__(self, lab):
        self.lab, operator = lab, lab.operator
        config, addresses = lab._config(0), operator.accord.planners
        self.addresses = {address: n for n, address in enumerate(addresses)}
        self.models = [
            OrderPlanner(
                PlannerSettings(n, len(addresses), lab.seed * 100 + n, "lab", operator.accord.lease),
                None,
                operator.advisers(config),
            )
            for n in range(len(addresses))
        ]
        self.asks, self.alarms, self.orders, self.messages = {}, [0] * len(addresses), [], 0
        for n in range(len(addresses)):
            lab.later(1 + n, self.step, n, Beat())

    def step(self, n, told):
        model = self.models[n]
        for order in model.step(self.lab.now, told):
            kind = type(order)
            if kind is Send:
                self.messages += 1
                self.lab.later(HOP, self.step, order.planner, Heard(n, order.message))
            elif kind is Tell:
                self.messages += 1
                self.lab.later(HOP, self.step, order.planner, Summary(n, order.reports))
            elif kind is Store:
                self.lab.later(HOP, self.step, n, Stored(order.number, True))
            elif kind is Reply:
                gatekeeper, planner = self.asks.pop(order.key)
                self.lab.later(HOP, gatekeeper.post, Answered(planner, order.standing))
            elif kind is Agreed and (not self.orders or order.order.version > self.orders[-1][1]):
                self.orders.append((self.lab.since(self.lab.now), order.order.version, order.order.parts))
        if model.due < self.alarms[n] or self.alarms[n] <= self.lab.now:
            self.alarms[n] = max(self.lab.now + 1, model.due)
            self.lab.at(self.alarms[n], self.ring, n, self.alarms[n])

    def ring(self, n, alarm):
        if alarm == self.alarms[n]:
            self.step(n, Beat())

    def ask(self, gatekeeper, told):
        key = self.messages = self.messages + 1
        self.asks[key] = gatekeeper, told.planner
        self.lab.later(
            HOP,
            self.step,
            self.addresses[told.planner],
            Followed(key, gatekeeper.config.name, told.number, told.have, told.report),
        )

    def told(self):
        """(seconds, version, parts) of each order that was agreed, and the messages all that took."""
        return {"orders": self.orders, "messages": self.messages}
