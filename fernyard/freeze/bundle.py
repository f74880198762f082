"""The files that make a configuration, their digest, and the agreed one kept for the next start.

What the program calls router configuration: the platform's settings (frontends, plans, costs), the addresses of discovery and
counter, the operator's own file, and the description of routes that it names. What is an instance's own (its name, listening
address, seed, limits, and the list of workers as known at start) is no part of it.
"""

import hashlib
import json
import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

from ..errors import FernyardError

COVERS = ("settings", "addresses", "operator", "routes")
LARGEST = 8 << 20


class BadBundle(FernyardError, ValueError):
    """Files that make no configuration, or a kept one that cannot be read."""


@dataclass(frozen=True, slots=True)
class Bundle:
    """`config`: the platform's file as read (JSON); `operator`, `routes`: texts, None where there is none."""

    digest: str
    config: dict
    operator: str | None
    routes: str | None


def read_bundle(config_path, operator_path=None, routes_path=None, covers=COVERS):
    """The configuration that stands in the files now."""
    config = json.loads(_text(config_path))
    if not isinstance(config, dict):
        raise BadBundle("holds no object", config_path, "write the file again as the deployment hands it over")
    return make_bundle(config, operator_path and _text(operator_path), routes_path and _text(routes_path), covers)


def make_bundle(config, operator, routes, covers=COVERS):
    settings = {name: value for name, value in (config.get("settings") or {}).items() if name != "zone"}
    told = {
        "settings": settings,
        "addresses": [config.get("discovery"), config.get("counter")],
        "operator": operator and without(operator, exceptions=True),
        "routes": routes,
    }
    body = json.dumps({name: told[name] for name in covers}, sort_keys=True)
    return Bundle(hashlib.blake2b(body.encode(), digest_size=12).hexdigest(), config, operator, routes)


def without(operator, exceptions=False, routes=False):
    """What an operator's file says, but for the planners that agree on it, for exceptions to windows, which name digests
    themselves, and for the file of routes."""
    try:
        told = json.loads(operator) if operator.lstrip()[:1] == "{" else tomllib.loads(operator)
    except ValueError:
        return operator
    told.pop("accord", None)
    if exceptions and isinstance(told.get("freeze"), dict):
        told["freeze"].pop("exceptions", None)
    if routes:
        told.pop("routes", None)
    return json.dumps(told, sort_keys=True, default=str)


def _text(path):
    try:
        if os.path.getsize(path) > LARGEST:
            raise BadBundle(f"over {LARGEST} bytes", path)
        return Path(path).read_text()
    except OSError as why:
        raise BadBundle(f"cannot be read: {why.strerror}", path, "name a file that this user may read") from None
    except UnicodeDecodeError:
        raise BadBundle("is not UTF-8", path, "write it again as UTF-8") from None


class Kept:
    """The agreed configuration of one instance, in a folder of its own: `agreed.json` names its digest and holds its texts,
    replaced in one step."""

    def __init__(self, folder, covers=COVERS):
        self.path, self.covers = Path(folder) / "agreed.json", covers

    def load(self):
        """The kept `Bundle`, or None. BadBundle: it was changed by hand or damaged."""
        if not self.path.exists():
            return None
        try:
            told = json.loads(_text(self.path))
            bundle = make_bundle(told["config"], told["operator"], told["routes"], self.covers)
            same = bundle.digest == told["digest"]
        except (ValueError, KeyError, TypeError, AttributeError):
            same = False
        if not same:
            raise BadBundle(
                "is no configuration that was kept here",
                self.path,
                "remove it: this instance then takes no reqs until the planners have confirmed its files",
            )
        return bundle

    def save(self, bundle):
        self.path.parent.mkdir(parents=True, exist_ok=True)
        new = self.path.with_suffix(".new")
        with open(new, "w") as file:
            json.dump(
                {
                    "digest": bundle.digest,
                    "config": bundle.config,
                    "operator": bundle.operator,
                    "routes": bundle.routes,
                },
                file,
            )
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, self.path)
