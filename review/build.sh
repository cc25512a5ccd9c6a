#!/bin/sh
# Checks that all stand-ins of the cases can be loaded. They are Python: the
# project's own from banyantrack/testing, and those in this folder.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:$PWD:review" python3 -c '
from common import harness
from banyantrack.testing import fake_executor, system
'
python3 -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
