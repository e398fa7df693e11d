#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python, so this only checks
# that they, the project's own ones and the libraries of the build of the
# deploy file can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
exec python3 -c 'from review import standins_2; print("stand-ins are ready")'
