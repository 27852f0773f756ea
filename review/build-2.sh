#!/usr/bin/env bash
# Build the stand-ins that the scripts of review/4 to review/6 start: the project's own
# ones and those of review/common-2, compiled under target/review-2. Run deploy/build
# first, which puts the packages under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/deps/.node ]; then
    echo "run deploy/build first" >&2
    exit 1
fi
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
cp -r mallowpond "$out/mallowpond"
cp review/common-2/*.py "$out/"
python3 -m compileall -q "$out"
PYTHONPATH="$out:target/deps" python3 -S -P -c 'import lab, standin'
touch "$out/.built"
