"""Log lines on structlog: one line an event, in either form, a fault folded into three fields."""

import io
import json
import logging
import unittest
from unittest import mock

import structlog

from fernyard.log import set_up, through_logging


class Lines(unittest.TestCase):
    def lines(self, form):
        written = io.StringIO()
        with mock.patch("sys.stderr", written):
            set_up(logging.INFO, form)
        self.addCleanup(through_logging)
        self.addCleanup(logging.basicConfig, force=True, handlers=[logging.NullHandler()])
        log = structlog.get_logger("fernyard.here")
        try:
            raise ValueError("a bad\nthing")
        except ValueError:
            log.exception("effect_fault", kind="Send")
        log.debug("not_shown")
        logging.getLogger("library").warning("two\nlines")
        return written.getvalue().splitlines()

    def test_logfmt_keeps_a_fault_on_one_line(self):
        fault, foreign = self.lines("logfmt")
        self.assertRegex(
            fault,
            r"^ts=\d+\.\d+ level=error from=fernyard.here event=effect_fault kind=Send "
            r'fault=ValueError at=\S+test_log.py:\d+ why="a bad thing"$',
        )
        self.assertRegex(foreign, r'level=warning from=library event="two lines"$')

    def test_before_set_up_events_obey_the_standard_library(self):
        # structlog's own default printed every event to standard output, past logging.disable.
        written = io.StringIO()
        with mock.patch("sys.stdout", written), self.assertLogs("fernyard.there", logging.WARNING) as seen:
            structlog.get_logger("fernyard.there").warning("counter_answer_unread", why="x")
        self.assertEqual((written.getvalue(), len(seen.records)), ("", 1))

    def test_json_lines(self):
        fault, foreign = (json.loads(line) for line in self.lines("json"))
        self.assertEqual(
            (fault["event"], fault["fault"], fault["why"], fault["kind"]),
            ("effect_fault", "ValueError", "a bad thing", "Send"),
        )
        self.assertEqual((foreign["from"], foreign["event"]), ("library", "two lines"))
