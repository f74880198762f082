"""Log lines on structlog: one line an event, as logfmt (`ts=... level=warning from=... event=reload_refused
why=...`) or as JSON lines, chosen on the command line. The program's own modules log through structlog with
keyword fields; what libraries log through the standard library comes out in the same form.

A fault's traceback is folded into three fields (`fault`, `at`, `why`) so that an event stays one line.
"""

import logging
import sys
import traceback

import structlog

FORMS = ("logfmt", "json")


def _fold_fault(logger, name, event):
    """exc_info (True or a tuple) becomes fault=TYPE at=FILE:LINE why="..."; nothing else is changed."""
    told = event.pop("exc_info", None)
    if told:
        kind, why, trace = sys.exc_info() if told is True else told
        if kind is not None:
            where = traceback.extract_tb(trace)[-1:]
            event["fault"] = kind.__name__
            event["at"] = f"{where[0].filename}:{where[0].lineno}" if where else "?"
            event["why"] = " ".join(str(why).split())
    return event


def _one_line(logger, name, event):
    """A library's message with new lines in it is written on one line."""
    text = event.get("event")
    if isinstance(text, str) and "\n" in text:
        event["event"] = " ".join(text.split())
    return event


def through_logging():
    """Until `set_up`, events go to the standard library's logging as plain records: its levels, handlers and
    `logging.disable` hold for them too (structlog's own default prints every event to standard output)."""
    structlog.configure(
        processors=[structlog.stdlib.filter_by_level, structlog.stdlib.render_to_log_kwargs],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=False,
    )


through_logging()


def set_up(level=logging.INFO, form="logfmt"):
    """Sends every log record at `level` or above to standard error in `form` ("logfmt" or "json")."""
    shared = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt=None, key="ts"),
        _fold_fault,
        _one_line,
    ]
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.processors.LogfmtRenderer(key_order=["ts", "level", "from", "event"])
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.ExtraAdder(), *shared],
        processors=[_named, structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    structlog.configure(
        processors=[structlog.stdlib.filter_by_level, *shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    if level > logging.DEBUG:
        # The server logs a traceback for each malformed message; those are counted.
        logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)


def _named(logger, name, event):
    """`from` names the module that logged, as the standard library's record tells it."""
    record = event.get("_record")
    if record is not None:
        event.setdefault("from", record.name)
    if isinstance(event.get("ts"), float):
        event["ts"] = round(event["ts"], 4)
    return event
