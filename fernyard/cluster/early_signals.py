"""SIGTERM and SIGHUP while a program starts, and once it has stopped. Either would end it with a signal's status by default: a restart
and a change of settings may well come one upon the other. Imports as little as possible."""

import asyncio
import signal
import sys
from types import FrameType


class EarlySignals:
    """Handles both until the program does so itself."""

    def __init__(self) -> None:
        self.reload_requested = False

    def install(self) -> None:
        """SIGTERM ends the process with status 0, as it has taken nothing yet; SIGHUP is kept."""
        signal.signal(signal.SIGTERM, _stop)
        signal.signal(signal.SIGHUP, self._request_reload)

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True

    def hand_over(self) -> None:
        """Within the running loop, right before the program installs its own handlers: passes a kept SIGHUP on to these."""
        if self.reload_requested:
            asyncio.get_running_loop().call_soon(signal.raise_signal, signal.SIGHUP)


def ignore_late_signals() -> None:
    """Within the running loop, once the program has stopped: a signal that comes before the process is gone changes nothing. The loop
    would bring back the default actions when it is closed."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _stop(number: int, frame: FrameType | None) -> None:
    sys.exit(0)


EARLY_SIGNALS = EarlySignals()  # of this process
