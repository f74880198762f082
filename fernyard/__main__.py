"""fernyard: one gatekeeper.

Usage:
  fernyard serve [--log=LEVEL]
  fernyard check [CONFIG]
  fernyard version

serve runs the gatekeeper that the configuration describes, until SIGTERM. SIGUSR1 prints its counts; on
SIGHUP it reads the configuration again and takes discovery and the counter from it.
check reads a configuration and says what it is for, or why it cannot be used.

The configuration is CONFIG, or else the file that EDGE_CONFIG names.

Options:
  --log=LEVEL  debug, info, warning or error [default: info].
"""

import asyncio
import logging
import os
import signal
import sys

from docopt import docopt

from . import __version__
from .log import set_up
from .settings import BadSettings, config_path, load_config


def main(argv=None):
    told = docopt(__doc__, argv=argv)
    if told["version"]:
        print(f"fernyard {__version__}")
        return 0
    try:
        level = logging.getLevelNamesMapping().get(told["--log"].upper())
        if level is None:
            raise BadSettings(f"--log {told['--log']} is no level")
        path = told["CONFIG"] or config_path()
        signal.signal(signal.SIGHUP, signal.SIG_IGN)    # until it is served, one ends nothing
        config = load_config(path)
        if told["check"]:
            print("%s on %s:%d:" % (config.name, *config.listen), f"{len(config.frontends)} frontends,",
                  f"{len(config.plans)} plans, {len(config.known[2])} workers known")
            return 0
        set_up(level)
        # No TLS is spoken. Else the client library would read the machine's certificates, twice, at start.
        os.environ.update(SSL_CERT_FILE=os.devnull, SSL_CERT_DIR=os.devnull)
        from .node import Node
        asyncio.run(Node(config, lambda: load_config(path)).run())
    except (BadSettings, OSError) as why:
        print(f"fernyard: {' '.join(str(why).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
