#!/bin/sh
# The stand-ins of the cases use Python's standard library alone: nothing is installed.
# Python 3.11 or later is needed, as for the edge processes.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in harness.py */play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
