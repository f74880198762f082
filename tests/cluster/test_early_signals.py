"""Signals that come while a program starts: a restart and a change of settings may come one upon the other."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools
from testtools.matchers import Equals

from fernyard.cluster.early_signals import EarlySignals, ignore_late_signals

PROGRAMS = ("data-plane", "control-plane")


def while_it_starts(program, numbers):
    """The exit status of a program that gets these signals while it waits for its settings, a pipe that nobody writes to."""
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "local.toml"
        os.mkfifo(settings)
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "fernyard.cluster", program],
            env={**os.environ, "FERNYARD_BOOT": str(settings)},
            stderr=subprocess.DEVNULL,
        )
        with open(settings, "w", encoding="utf-8"):  # opens once the program does: it is past the first moment by then
            for number in numbers:
                process.send_signal(number)
            return process.wait()


class TestStart(testtools.TestCase):
    def test_sigterm_ends_it_with_status_0(self):
        for program in PROGRAMS:
            self.assertThat(while_it_starts(program, [signal.SIGTERM]), Equals(0), program)

    def test_sighup_does_not_end_it(self):
        for program in PROGRAMS:
            numbers = [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]
            self.assertThat(while_it_starts(program, numbers), Equals(0), program)

    def test_sighup_reaches_the_program(self):
        """Once, by its own handler, and only if one came."""
        for came in (True, False):
            before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP)}
            handled = []

            async def run(came=came, handled=handled):
                early.hand_over()
                asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, handled.append, "reload")
                for _ in range(5):
                    await asyncio.sleep(0)
                asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)

            try:
                early = EarlySignals()
                early.install()
                if came:
                    signal.raise_signal(signal.SIGHUP)
                asyncio.run(run())
            finally:
                for number, handler in before.items():
                    signal.signal(number, handler)
            self.assertThat(handled, Equals(["reload"] if came else []))


class TestEnd(testtools.TestCase):
    def test_a_signal_after_the_loop_was_closed_does_not_end_the_process(self):
        """Guards against a status of SIGHUP or SIGTERM, in the moment between the end of a planned stop and the process's own."""
        numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
        before = {number: signal.getsignal(number) for number in numbers}

        async def run():
            for number in numbers:
                asyncio.get_running_loop().add_signal_handler(number, self.fail)
            ignore_late_signals()

        try:
            asyncio.run(run())
            for number in numbers:
                signal.raise_signal(number)
                self.assertThat(signal.getsignal(number), Equals(signal.SIG_IGN), number)
        finally:
            for number, handler in before.items():
                signal.signal(number, handler)
