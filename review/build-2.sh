#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of the standard library, so there is nothing to
# build but a check that they can be read. The program under test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [6-9]/case.py 10/case.py <<'CHECK'
import os
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 3.9 or later is needed")
for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name, encoding="utf-8") as file:
            compile(file.read(), name, "exec")
CHECK
