"""The system's command line: the two programs, and what operators use beside them."""

import asyncio
import sys

from .common.errors import ClusterError
from .common.logs import ComponentLogger, set_up

log = ComponentLogger("start")


def data_plane():
    """Run the data plane that FERNYARD_BOOT describes, until SIGTERM."""
    from .data_plane.process import DataPlane

    _run(DataPlane)


def control_plane():
    """Run the control plane that FERNYARD_BOOT describes, until SIGTERM."""
    from .control_plane.process import ControlPlane

    _run(ControlPlane)


def check(file: str, *, config: str = ""):
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
            id, told = configuration.read(opened.read())
        print(
            f"{config}: version {id.version:08x}, {len(told.svcs)} services, "
            f"{sum(len(vhost.paths) for vhost in told.vhosts)} routes, {len(told.accounts or [])} tenants"
        )


def status(address: str):
    """Ask a control plane what it holds, since when, and whom it hears.

    :param address: ip:port of its `control`
    """
    import urllib.request

    with urllib.request.urlopen(f"http://{address}/-/status", timeout=2) as answer:
        print(answer.read().decode())


def slopes():
    """Measure what one more route, tenant, worker or gateway costs each part (docs/CAPACITY.md)."""
    from .slopes import main as measure

    measure()


def _run(program):
    from .common.settings import read

    set_up()  # again: a program may have brought in fernyard.log, which sets logs up for libraries
    settings = read()

    async def run():
        await program(settings).run()

    asyncio.run(run())


def main():
    set_up()
    try:
        if sys.argv[1:] in (["data-plane"], ["control-plane"]):
            # The daemons alone do without the command line's library: a tenth of a second earlier back in service.
            return {"data-plane": data_plane, "control-plane": control_plane}[sys.argv[1]]()
        import defopt

        defopt.run([data_plane, control_plane, check, status, slopes], argv=sys.argv[1:])
    except ClusterError as why:
        log.warning("The program cannot start or go on.", **why.fields())
        sys.exit(2)
    except OSError as why:
        log.warning("The program cannot start or go on.", code="X001", why=str(why))
        sys.exit(2)


if __name__ == "__main__":
    main()
