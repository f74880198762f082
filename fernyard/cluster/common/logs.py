"""Log lines: short sentences, each behind the name of the component that writes it."""

import logging
import sys
from typing import Any

import structlog


def set_up() -> None:
    """Configures structlog for the whole process: logfmt on standard error, level info and above."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


class ComponentLogger:
    """The logger of one component; every sentence begins with the component's name."""

    def __init__(self, component: str) -> None:
        self.component, self.log = component, structlog.get_logger()

    def info(self, sentence: str, **fields: Any) -> None:
        """Logs what an operator may want to know."""
        self.log.info(f"{self.component}: {sentence}", **fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Logs what an operator should look at."""
        self.log.warning(f"{self.component}: {sentence}", **fields)

    def exception(self, sentence: str, **fields: Any) -> None:
        """Logs an unexpected exception with its traceback; to be called from an `except` block."""
        self.log.error(f"{self.component}: {sentence}", exc_info=True, **fields)
