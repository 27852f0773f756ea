#!/usr/bin/env bash
# Exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
export PYTHONPATH="target/deps:review" PYTHONDONTWRITEBYTECODE=1
timeout 115 python3 -S -P "$here/case.py" "$here"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
