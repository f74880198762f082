"""`python -m fernyard.cluster`: signals are handled from the first moment, all else is loaded afterwards."""

from .early_signals import EARLY_SIGNALS

if __name__ == "__main__":
    EARLY_SIGNALS.install()
    from .command_line import main

    main()
