"""What an operator meets when something cannot be used: one line that says what, where, and what to do."""

import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from fernyard.errors import FernyardError
from fernyard.settings import BadSettings

from .helper import configuration

PACKAGE = Path(__file__).parent.parent / "fernyard"


class Errors(unittest.TestCase):
    def test_an_error_is_one_line_of_what_where_and_what_to_do(self):
        class Odd(FernyardError):
            DO = "do this"

        self.assertEqual(str(Odd("is\n  wrong", "a/file")), "a/file: is wrong (do this)")
        self.assertEqual(str(Odd("is wrong", do="or that")), "is wrong (or that)")
        self.assertEqual(Odd("is wrong", "a/file").fields(), {"why": "is wrong", "where": "a/file", "do": "do this"})
        self.assertEqual(str(FernyardError("only what")), "only what")

    def test_no_bare_built_in_error_is_raised_outside_the_laboratory(self):
        # They reached operators as what Python makes of them, without a word on what to do.
        bare = re.compile(r"raise (ValueError|TypeError|KeyError|RuntimeError|Exception|OSError)\(")
        found = [
            f"{path.name}: {line.strip()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if not {"lab", "simhost"} & set(path.parts)
            for line in path.read_text().splitlines()
            if bare.search(line)
        ]
        self.assertEqual(found, [])

    def run_main(self, *arguments, **environment):
        """In a process of its own, and no longer than two minutes: one that is not refused would serve."""
        done = subprocess.run(
            [sys.executable, "-B", "-m", "fernyard", *arguments],
            env={**os.environ, **environment},
            capture_output=True,
            text=True,
            timeout=120,
        )
        return done.returncode, done.stderr

    def test_start_and_check_say_what_to_do(self):
        with tempfile.TemporaryDirectory() as folder:
            folder = Path(folder)
            config, broken = folder / "config.json", folder / "broken.json"
            config.write_text(json.dumps(configuration()))
            broken.write_text("{")
            planners = '[accord]\ncluster = "c"\nplanners = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]\n'
            (folder / "votes.sqlite").write_bytes(b"damaged" * 1000)
            cases = (
                ((), {"EDGE_CONFIG": ""}, "", "set EDGE_CONFIG"),
                ((), {"EDGE_CONFIG": str(broken)}, "", "write the file again"),
                ((), {"EDGE_CONFIG": str(folder / "none.json")}, "", "this user may read"),
                (("--operator", "op"), {}, "[recovery\n", "mend that line"),
                (("--operator", "op"), {}, "[recovery]\nbeat_s = 99\n", "recovery.beat_s"),
                (("--operator", "op"), {}, "[zones]\n", "needs [accord]"),
                (("--operator", "op"), {}, planners + '[zones]\nregions = [["mars"]]\n', "one of: here"),
                (
                    ("--operator", "op"),
                    {},
                    planners + '[freeze]\nkept = "k"\n[[freeze.windows]]\nname = "w"\nzone = "X/Y"\n'
                    "start = 2026-01-01T00:00:00\nend = 2026-01-02T00:00:00\n",
                    "IANA zone",
                ),
                (("--operator", "op", "--role", "planner"), {}, planners, "rejoins from the others"),
                (("--operator", "op", "--role", "planner"), {}, planners.replace(':1"', ':9"'), "place in the list"),
                (("--role", "forwarder"), {}, "", "[forwarder]"),
            )
            for arguments, environment, operator, words in cases:
                with self.subTest(words):
                    (folder / "op").write_text(operator)
                    arguments = [str(folder / "op") if a == "op" else a for a in arguments]
                    code, told = self.run_main("serve", *arguments, **{"EDGE_CONFIG": str(config), **environment})
                    self.assertEqual((code, told.count("\n")), (2, 1), told)
                    self.assertIn(words, told)
                    self.assertRegex(told, r"^fernyard: .+\(.+\)$")

    def test_a_wrapped_error_keeps_its_place(self):
        with self.assertRaises(BadSettings) as why:
            raise BadSettings("what", "where", "do")
        self.assertIsInstance(why.exception, ValueError)
