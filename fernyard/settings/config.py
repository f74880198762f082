"""The configuration of one gatekeeper, as its deployment hands it over."""

import json
import os
from dataclasses import dataclass

from .. import interface as i
from .limits import Limits
from .machines import Machines, address
from .read import BadSettings, read_settings


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: str
    counter: tuple[str, int] | None
    seed: int
    settings: i.Settings
    frontends: dict[str, int]  # by the name in a req's path
    plans: dict[str, int]
    machines: Machines
    known: tuple  # the list had last, as `machines` reads it
    limits: Limits


def load_config(path):
    try:
        with open(path, "rb") as file:
            return read_config(json.load(file))
    except OSError as why:
        raise BadSettings(f"cannot be read: {why.strerror}", path, "name a file that this user may read") from None
    except BadSettings as why:
        raise BadSettings(why.what, f"{path}: {why.where}" if why.where else path, why.do) from None
    except ValueError as why:
        raise BadSettings(f"is no JSON: {why}", path, "write the file again as the deployment hands it over") from None


def read_config(told):
    try:
        wire = told["settings"]
        settings = read_settings(wire)
        known = told.get("known") or {"generation": 0, "reset": True, "instances": []}
        machines = Machines(wire.get("zones", ()))
        if settings.may_count and not told.get("counter"):
            raise BadSettings(
                "a counter may be called and none is named", do="name `counter`, or set extra.mayCount to false"
            )
        return Config(
            name=str(told["name"]),
            listen=address(told["listen"]),
            discovery="%s:%d" % address(told["discovery"]),
            counter=address(told["counter"]) if told.get("counter") else None,
            seed=int(told["seed"], 16),
            settings=settings,
            frontends={c["name"]: at for at, c in enumerate(wire["classes"])},
            plans={p["name"]: at for at, p in enumerate(wire.get("tariffs", ()))},
            machines=machines,
            known=machines.read(known),
            limits=Limits.fill(told.get("limits", {}), wire),
        )
    except BadSettings:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as why:
        raise BadSettings(
            f"the configuration cannot be read: {type(why).__name__}: {why}",
            do="compare the file with the deployment page; a field is missing or of another kind",
        ) from None


def config_path(environ=os.environ):
    if not environ.get("EDGE_CONFIG"):
        raise BadSettings(
            "EDGE_CONFIG names no configuration file",
            do=(
                "set EDGE_CONFIG to the path of this instance's JSON file; `fernyard check FILE` tells whether one can be used"
            ),
        )
    return environ["EDGE_CONFIG"]
