#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need the standard
# library only, so compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins_2.py [6-9]/case.py
