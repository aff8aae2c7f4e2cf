#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the
# deploy file. The stand-ins in fleet2/ and fleet3/ need the standard library of
# Python 3.11 only, so this compiles them and the cases, to find errors before a run.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q fleet2 fleet3 6 8 9 10
