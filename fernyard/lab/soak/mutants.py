"""The program with one of its guards taken out: what a soak has to notice. Run as `python -m fernyard.lab.soak.mutants GUARD
ROLE` in place of `python -m fernyard.cluster ROLE`.
"""

import sys
from collections.abc import Callable
from typing import Any

Mutant = Callable[[], None]


def _no_cancelling() -> None:
    from ...cluster.data_plane.worker_connections import WorkerConnections

    def cancel(self: Any, number: int, attempt: int, only_unsent: bool) -> None:
        pass

    WorkerConnections.cancel = cancel  # type: ignore[method-assign]


def _repeats_all() -> None:
    from ...cluster.data_plane.router import RequestRouter

    RequestRouter._repeatable = lambda self, request: True  # type: ignore[method-assign]


def _no_grace() -> None:
    from ...cluster.data_plane.process import DataPlane

    async def drain(self: Any) -> None:
        self.draining = True

    DataPlane._drain = drain  # type: ignore[method-assign]


def _no_storing() -> None:
    from ...cluster.control_plane.store import Store

    Store.save = lambda self, *told: None  # type: ignore[method-assign]


def _no_majority() -> None:
    from ...cluster.control_plane.state import ControlState

    ControlState.has_quorum = lambda self, present, *told: bool(present)  # type: ignore[method-assign]


def _no_giving_back() -> None:
    from ...cluster.data_plane.quota import QuotaClient

    QuotaClient.give_back = lambda self, now, tenant: None  # type: ignore[method-assign]


def _no_count() -> None:
    from ...cluster.control_plane.state import SetEvacuation

    apply = SetEvacuation.apply

    def apply_to_any_state(self: SetEvacuation, state: Any) -> Any:
        return apply(SetEvacuation(self.zone, self.evacuated), state)

    SetEvacuation.apply = apply_to_any_state  # type: ignore[method-assign]


MUTANTS: dict[str, Mutant] = {
    "cancelling": _no_cancelling,
    "at most once": _repeats_all,
    "grace": _no_grace,
    "storing": _no_storing,
    "majority": _no_majority,
    "giving back": _no_giving_back,
    "count": _no_count,
}


def main() -> None:
    """Takes the guard out and runs the program."""
    guard = sys.argv.pop(1)
    MUTANTS[guard]()
    from ...cluster.command_line import main as run_program
    from ...cluster.early_signals import EARLY_SIGNALS

    EARLY_SIGNALS.install()
    run_program()


if __name__ == "__main__":
    main()
