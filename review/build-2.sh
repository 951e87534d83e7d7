#!/bin/sh
# Builds the stand-ins that the scripts of this review start. All of them are
# Python modules in review/support-2 and need no build; this checks them.
set -eu
cd "$(dirname "$0")"
python3 -B - support-2/*.py [0-9]*/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text("utf-8"), name, "exec")
PYTHON
