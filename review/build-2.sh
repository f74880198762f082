#!/bin/sh
# Builds the stand-ins of cases 4 to 8. They are Python files of the standard library alone: they are only compiled, in memory.
cd "$(dirname "$0")" || exit 2
exec python3 -B - stage2.py around_term.py [4-8]/case.py <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
    print(f"{name}: compiled")
PY
