#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves the disruption out; `--keep FOLDER` keeps the logs.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
export PYTHONPATH="target/deps:.:review/lib3" PYTHONDONTWRITEBYTECODE=1
exec python3 "$here/scenario.py" "$@"
