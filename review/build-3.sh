#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use
# the standard library only, so this checks that they can be compiled.
set -eu
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
cd "$here"
for file in lib4/harness.py lib4/checks.py 1[1-5]/scenario.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
