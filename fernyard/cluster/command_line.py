"""The system's command line: the two programs, and what operators use beside them."""

import asyncio
import sys
from typing import TYPE_CHECKING, Protocol

from .common.errors import ClusterError
from .common.logs import ComponentLogger, set_up
from .early_signals import EARLY_SIGNALS

if TYPE_CHECKING:
    from .common.settings import Settings

log = ComponentLogger("start")


def data_plane() -> None:
    """Run the data plane that FERNYARD_BOOT describes, until SIGTERM."""
    from .data_plane.process import DataPlane

    _run(DataPlane)


def control_plane() -> None:
    """Run the control plane that FERNYARD_BOOT describes, until SIGTERM."""
    from .control_plane.process import ControlPlane

    _run(ControlPlane)


def check(file: str, *, config: str = "") -> None:
    """Read a settings file, and a configuration if one is named; say what they are for or what is wrong.

    :param file: a settings file as FERNYARD_BOOT names it
    :param config: a configuration as operators send it
    """
    from .common.settings import read

    settings = read(file)
    print(
        f"{file}: {settings.node} in {settings.zone}, {settings.region}; seeds "
        + ", ".join(f"{ip}:{port}" for ip, port in settings.seeds)
    )
    if config:
        from .control_plane import configuration

        with open(config, "rb") as opened:
            id, parsed = configuration.read(opened.read())
        print(
            f"{config}: version {id.version:08x}, {len(parsed.svcs)} services, "
            f"{sum(len(vhost.paths) for vhost in parsed.vhosts)} routes, {len(parsed.accounts or [])} tenants"
        )


def status(address: str) -> None:
    """Ask a control plane what it holds, since when, and whom it hears.

    :param address: ip:port of its `control`
    """
    import urllib.request

    with urllib.request.urlopen(f"http://{address}/-/status", timeout=2) as answer:
        print(answer.read().decode())


def slopes() -> None:
    """Measure what one more route, tenant, worker or gateway costs each part (docs/CAPACITY.md)."""
    from .slopes import main as measure

    measure()


class Program(Protocol):
    """One of the two programs, made from its settings within a running loop."""

    def __init__(self, settings: "Settings") -> None: ...

    async def run(self) -> None:
        """Serves until SIGTERM."""


def _run(program: type[Program]) -> None:
    from .common.settings import read

    set_up()  # again: a program may have imported fernyard.log, which sets logs up for libraries
    settings = read()

    async def run() -> None:
        made = program(settings)
        EARLY_SIGNALS.hand_over()
        await made.run()

    asyncio.run(run())


def main() -> None:
    """The command line; errors that an operator can meet are logged, and the exit status is 2."""
    set_up()
    try:
        if sys.argv[1:] in (["data-plane"], ["control-plane"]):
            # The daemons alone do without the command line's library: a tenth of a second earlier back in service.
            return data_plane() if sys.argv[1] == "data-plane" else control_plane()
        import defopt

        defopt.run([data_plane, control_plane, check, status, slopes], argv=sys.argv[1:])
    except ClusterError as error:
        log.warning("The program cannot start or go on.", **error.fields())
        sys.exit(2)
    except OSError as error:
        log.warning("The program cannot start or go on.", code="X001", why=str(error))
        sys.exit(2)
