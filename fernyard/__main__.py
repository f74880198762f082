"""fernyard's command line, on click: `serve`, `check`, `version`, and `lab` for the laboratory.

serve runs the gatekeeper that the configuration (the file EDGE_CONFIG names) describes, until SIGTERM. SIGUSR1
prints its counts; on SIGHUP it reads the configuration again and takes discovery and the counter from it.
check reads a configuration and says what it is for, or why it cannot be used. Exit 2: a configuration that
cannot be used, or words the command line does not know.
"""

import asyncio
import logging
import os
import signal
import sys
import time

import click

from . import __version__
from .errors import FernyardError
from .settings import BadSettings, config_path, load_config

LEVELS = ("debug", "info", "warning", "error")


class Commands(click.Group):
    """The laboratory's commands are loaded only when asked for: `serve` starts on what it needs alone."""

    def list_commands(self, ctx):
        return sorted([*super().list_commands(ctx), "lab"])

    def get_command(self, ctx, name):
        if name == "lab":
            from .lab.cli import lab

            return lab
        return super().get_command(ctx, name)


OPERATOR = click.option(
    "--operator",
    type=click.Path(dir_okay=False),
    default=None,
    envvar="FERNYARD_OPERATOR",
    help="The operator's own file (TOML): what the platform's configuration does not know.",
)


def read_operator(path):
    """The operator's file, or None where there is none; its library is loaded only then."""
    if path is None:
        return None
    from .settings.operator import load_operator

    return load_operator(path)


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def cli():
    """fernyard: a gateway that holds customers to their quotas before a shared back end."""


@cli.command()
@click.option(
    "--log",
    "level",
    type=click.Choice(LEVELS, case_sensitive=False),
    default="info",
    show_default=True,
    help="The least level logged.",
)
@click.option(
    "--log-format",
    "form",
    type=click.Choice(("logfmt", "json")),
    default="logfmt",
    show_default=True,
    help="Log lines as logfmt (key=value) or as JSON lines.",
)
@click.option(
    "--role",
    type=click.Choice(("gatekeeper", "forwarder", "planner")),
    default="gatekeeper",
    show_default=True,
    help="A gatekeeper by itself, or one of two levels (docs/planners.md).",
)
@OPERATOR
def serve(level, form, role, operator):
    """Runs the gatekeeper of the configuration that EDGE_CONFIG names, until SIGTERM."""
    from .log import set_up

    path, operator_path = config_path(), operator
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is served, one ends nothing
    config, operator = load_config(path), read_operator(operator)
    set_up(logging.getLevelNamesMapping()[level.upper()], form)
    # No TLS is spoken. Else the client library would read the machine's certificates, twice, at start.
    os.environ.update(SSL_CERT_FILE=os.devnull, SSL_CERT_DIR=os.devnull)
    if role == "planner":
        from .plan.server import PlannerNode

        if config.counter is None:
            raise BadSettings(
                "a planner needs a counter, and the configuration names none", path, "name `counter` in it"
            )
        lease = operator.planner.lease_s if operator and operator.planner else 2.0
        recovery = None
        if operator is not None:
            from .settings.operator import planner_recovery

            recovery = planner_recovery(operator, config)
        accord = None
        if operator is not None and operator.accord is not None:
            accord = operator.accord.planner(config, operator, lambda: read_operator(operator_path))
        return asyncio.run(PlannerNode(config, int(lease * 10_000), recovery, accord).run())
    if role == "forwarder" and (operator is None or operator.forwarder is None):
        raise BadSettings(
            "a forwarder needs to know its planners",
            do=("give --operator FILE (or FERNYARD_OPERATOR) with a section [forwarder]"),
        )
    if role == "gatekeeper" and operator is not None and operator.forwarder is not None:
        operator = operator.model_copy(update={"forwarder": None})  # one file may serve every role
    served, table, told = None, None, operator
    if operator is not None and operator.freeze is not None:
        from .freeze.served import Served

        served = Served(
            path,
            operator_path,
            operator.freeze.made(operator.accord.skew_s),
            operator.freeze.kept,
            operator.freeze.covers,
        )
        config, operator, table = served.start()
        operator = operator.model_copy(update={"forwarder": told.forwarder and operator.forwarder})
    from .node import Node

    asyncio.run(Node(config, lambda: load_config(path), operator, served, table).run())


@cli.command()
@click.argument("config", required=False)
@OPERATOR
@click.option(
    "--bounds",
    "with_bounds",
    is_flag=True,
    help="Prints the most units that trouble of the shared counter may cost, by plan.",
)
def check(config, operator, with_bounds):
    """Reads CONFIG (or the file EDGE_CONFIG names), and the operator's file, and says what they are for."""
    path, operator_path = config or config_path(), operator
    config, operator = load_config(path), read_operator(operator)
    print(
        "%s on %s:%d:" % (config.name, *config.listen),
        f"{len(config.frontends)} frontends,",
        f"{len(config.plans)} plans, {len(config.known[2])} workers known",
    )
    if operator is not None and operator.eureka is not None:
        told = operator.eureka
        print(
            f"workers from the registry at {told.url}: {', '.join(told.apps) or 'all applications'}, "
            f"asked every {told.poll_s:g} s"
        )
    if operator is not None and operator.accord is not None:
        told = operator.accord
        print(
            f"planners of {told.cluster!r}: {', '.join(told.planners)}; an order holds {told.lease_s:g} s, clocks within "
            f"{told.skew_s:g} s"
        )
    if operator is not None and operator.freeze is not None:
        told = operator.freeze
        routes = operator.routes and operator.routes.file
        from .freeze.bundle import read_bundle

        print(
            f"configuration {read_bundle(path, operator_path, routes, told.covers).digest} of {', '.join(told.covers)}"
        )
        for name, start, end in told.made(operator.accord.skew_s).next(time.time()):
            start, end = (time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime(at)) for at in (start, end))
            print(f"  frozen by {name}: {start} to {end}")
        for told in told.exceptions:
            print(f"  exception to {told.window} until {told.until:%Y-%m-%d %H:%M %Z}: {told.digest} ({told.reason})")
    if operator is not None and operator.routes is not None:
        table = operator.routes.read(config)
        operator.routes.default(config)
        print(f"{operator.routes.file}: {len(table.operations)} operations")
        for operation in table.operations:
            dearer = "".join(
                f"; {v.query}{'' if v.equals is None else '=' + v.equals}: {v.units:g}" for v in operation.variants
            )
            print(f"  {operation.key}: class {operation.frontend}, units {operation.units:g}{dearer}")
    if with_bounds:
        from .recovery import bounds_of

        recovery = operator.recovery.settings() if operator and operator.recovery else None
        print("recovery is " + ("on" if recovery else "off"))
        for told in bounds_of(config, recovery):
            print("\n".join(told.lines()))
            if operator and operator.forwarder:
                from .plan import slack

                more = slack(told.limit, operator.forwarder.fallback)
                print(
                    f"  behind forwarders: {told.crossing:g} while a planner answers, {told.crossing + more:g} (slack "
                    f"{more:g}) while none does"
                )


@cli.command()
def version():
    """Prints the version."""
    print(f"fernyard {__version__}")


def main(argv=None):
    """Runs the command line on `argv` (default: the process's); returns the exit code."""
    try:
        cli.main(args=argv, prog_name="fernyard", standalone_mode=False)
    except click.exceptions.Exit as done:
        return done.exit_code
    except click.ClickException as why:
        why.show()
        return why.exit_code
    except click.exceptions.Abort:
        return 1
    except FernyardError as why:
        print(f"fernyard: {why}", file=sys.stderr)
        return 2
    except OSError as why:
        # An address that is taken, a port that this user may not have, a file that went away.
        print(
            f"fernyard: {' '.join(str(why).split())} (free the address or file named, or name another)", file=sys.stderr
        )
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
