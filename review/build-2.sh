#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. All
# are Python: the ones of banyantrack/testing, and those beside the scripts.
# It needs the build of deploy/system.toml, in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review:.
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import pathlib

import banyantrack.testing.fake_machines
import banyantrack.testing.platform_system
import lib2.harness
import lib3.harness

for number in range(6, 11):
    for path in sorted(pathlib.Path(f'review/{number}').glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
        print(f'{path}: ready')
CHECK
