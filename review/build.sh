#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python, so this only checks that
# they and the libraries from the build of the deploy file can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
exec python3 -c 'from review import standins; print("stand-ins are ready")'
