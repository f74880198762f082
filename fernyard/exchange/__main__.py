"""The system's command line: the two programs, and what operators use beside them."""

import asyncio
import sys

from .trunk.errors import ExchangeError
from .trunk.logs import Part, set_up

log = Part("start")


def switchboard():
    """Run the data plane that FERNYARD_BOOT describes, until SIGTERM."""
    from .switchboard.shell import Switchboard
    _run(Switchboard)


def tandem():
    """Run the control plane that FERNYARD_BOOT describes, until SIGTERM."""
    from .tandem.shell import Tandem
    _run(Tandem)


def check(file: str, *, config: str = ""):
    """Read a settings file, and a configuration if one is named; say what they are for or what is wrong.

    :param file: a settings file as FERNYARD_BOOT names it
    :param config: a configuration as operators send it
    """
    from .trunk.settings import read
    settings = read(file)
    print(f"{file}: {settings.node} in {settings.zone}, {settings.region}; seeds "
          + ", ".join(f"{ip}:{port}" for ip, port in settings.seeds))
    if config:
        from .tandem import word
        with open(config, "rb") as opened:
            stamp, told = word.read(opened.read())
        print(f"{config}: version {stamp[0]:08x}, {len(told.svcs)} services, "
              f"{sum(len(vhost.paths) for vhost in told.vhosts)} routes, {len(told.accounts or [])} tenants")


def status(address: str):
    """Ask a control plane what it holds, since when, and whom it hears.

    :param address: ip:port of its `control`
    """
    import urllib.request
    with urllib.request.urlopen(f"http://{address}/-/status", timeout=2) as answer:
        print(answer.read().decode())


def slopes():
    """Measure what one more route, tenant, worker or switchboard costs each part (docs/CAPACITY.md)."""
    from .slopes import main as measure
    measure()


def _run(program):
    from .trunk.settings import read
    set_up()        # again: a program may have brought in fernyard.log, which sets logs up for libraries
    settings = read()

    async def run():
        await program(settings).run()
    asyncio.run(run())


def main():
    set_up()
    try:
        if sys.argv[1:] in (["switchboard"], ["tandem"]):
            # The daemons alone do without the command line's library: a tenth of a second earlier back in service.
            return {"switchboard": switchboard, "tandem": tandem}[sys.argv[1]]()
        import defopt
        defopt.run([switchboard, tandem, check, status, slopes], argv=sys.argv[1:])
    except ExchangeError as why:
        log.warning("Cannot go on.", **why.fields())
        sys.exit(2)
    except OSError as why:
        log.warning("Cannot go on.", code="X001", why=str(why))
        sys.exit(2)


if __name__ == "__main__":
    main()
