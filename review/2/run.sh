#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=../../target/deps exec python3 case.py
