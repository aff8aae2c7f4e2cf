#!/usr/bin/env bash
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../target/deps exec python3 case.py
