"""One loop for tests of guards: each guard is taken away in turn, and a run that holds with it has to fail."""

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any

import testtools

Guards = Mapping[str, Callable[[], AbstractContextManager[Any]]]


def assert_each_is_needed(
    test: testtools.TestCase, guards: Guards, run: Callable[[], object], errors: tuple[type[Exception], ...] = ()
) -> None:
    """Fails where `run` still holds without a guard.

    `guards`: what each guard guards against, and a context in which it is taken away; `errors`: what a run without it may
    raise beside a failed assertion.
    """
    for name, without in guards.items():
        failed = False
        with without():
            try:
                run()
            except (test.failureException, *errors):
                failed = True
        test.assertTrue(failed, f"nothing fails without: {name}")
