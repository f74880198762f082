"""Formats log records as one line of key=value."""

import logging
import sys
import traceback


class KeyValue(logging.Formatter):
    """The first word of a message is the event; the rest of it is key=value already."""

    def format(self, record):
        event, _, rest = record.getMessage().replace("\n", " ").partition(" ")
        line = f"ts={record.created:.4f} level={record.levelname.lower()} from={record.name} event={event}"
        if rest:
            line += " " + (rest if "=" in rest.partition(" ")[0] else f'text="{rest}"')
        if record.exc_info:
            where = traceback.extract_tb(record.exc_info[2])[-1:]
            at = f"{where[0].filename}:{where[0].lineno}" if where else "?"
            text = str(record.exc_info[1]).replace("\n", " ").replace('"', "'")
            line += f' fault={record.exc_info[0].__name__} at={at} why="{text}"'
        return line


def set_up(level=logging.INFO):
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    if level > logging.DEBUG:
        # The server logs a traceback for each malformed message; those are counted.
        logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
