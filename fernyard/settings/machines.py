"""Discovery's entries, into the machines that the decisions know; used for the list known at start too."""

import math

from .. import interface as i
from ..errors import FernyardError

PHASES = {"ready": i.Phase.READY, "draining": i.Phase.DRAINING, "gone": i.Phase.GONE}


class BadList(FernyardError, ValueError):
    """No list of workers, or no address."""


class Machines:
    """Reads lists of workers by the zone names of the settings. BadList: it is no such list."""

    def __init__(self, zones):
        self.zones = {name: number for number, name in enumerate(zones)}

    def read(self, told):
        """(version, whether it is the whole list, machines, address of each worker by its id)"""
        try:
            machines, addresses = [], {}
            for entry in told["instances"]:
                worker = _text(entry["instanceId"])
                phase = PHASES[entry["lifecycle"]]
                started = float(entry.get("startedAtMs") or 0)
                if not math.isfinite(started):
                    raise BadList("startedAtMs is not a number")
                machines.append(
                    i.Machine(
                        worker, int(started * 10), entry.get("cell", 0), self.zones.get(entry.get("zone"), -1), phase
                    )
                )
                if phase is not i.Phase.GONE:
                    addresses[worker] = "%s:%d" % address(_text(entry["hostPort"]))
            return int(told["generation"]), bool(told.get("reset")), tuple(machines), addresses
        except (KeyError, TypeError, AttributeError) as why:
            raise BadList(f"{type(why).__name__}: {why}") from None


def _text(value):
    if not isinstance(value, str) or not value:
        raise BadList(f"{value!r} is no text")
    return value


def address(text):
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise BadList(f"{text!r} is no address")
    return host, int(port)
