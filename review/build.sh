#!/usr/bin/env bash
# Check that the stand-ins load; they are Python modules and need no other build.
#
# The project's own stand-ins are part of what the build of the deploy file puts under
# target/deps; `rig.py` runs them in the process of each script.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review" PYTHONDONTWRITEBYTECODE=1
python3 -S -P -c "import engine, rig"
