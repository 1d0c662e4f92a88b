#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec python3 -u review/5/play.py
