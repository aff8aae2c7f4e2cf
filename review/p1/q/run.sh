#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
CASE_ROOT=$(cd "$here/../../.." && pwd)
export CASE_ROOT
export PYTHONPATH="$here/..:$CASE_ROOT/target/deps"
export PYTHONDONTWRITEBYTECODE=1
exec timeout 118 python3 "$here/case.py"
