#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that use its standard library only, so that nothing is
# compiled; this checks that each of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is required")
for name in ["standins/fleet.py", *glob.glob("[0-9]/*.py")]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
print("stand-ins are ready")
PY
