#!/bin/sh
# The stand-ins are Python: nothing is compiled. Checks that they can start.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standin/*.py [1-9]/*.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
