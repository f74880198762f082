#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They are Python of the standard library alone: compiling them shows
# that they can be read by the Python that is here.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -B - "$here" <<'PYTHON'
import sys
from pathlib import Path

for path in sorted(Path(sys.argv[1]).rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
