#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
exec python3 review/4/case.py
