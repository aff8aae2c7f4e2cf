#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python and use only what the
# build line of the deploy file has installed into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp, tomllib'
python3 -m compileall -q review
