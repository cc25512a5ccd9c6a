#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
PYTHONPATH="$here/../../lib4" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 "$here/scenario.py"
