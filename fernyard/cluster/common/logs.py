"""Log lines: short sentences, each behind the fixed prefix of its part."""

import logging
import sys

import structlog


def set_up():
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
    """A logger of one part; every sentence begins with its prefix."""

    def __init__(self, prefix):
        self.prefix, self.log = prefix, structlog.get_logger()

    def info(self, sentence, **fields):
        self.log.info(f"{self.prefix}: {sentence}", **fields)

    def warning(self, sentence, **fields):
        self.log.warning(f"{self.prefix}: {sentence}", **fields)

    def fault(self, sentence, **fields):
        self.log.error(f"{self.prefix}: {sentence}", exc_info=True, **fields)
