import sys

from .host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
