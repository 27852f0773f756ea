#!/usr/bin/env bash
# Exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/deps/.node ] || [ ! -f target/review-2/.built ]; then
    echo "run deploy/build, then review/build-2.sh" >&2
    exit 2
fi
record=review/6/record.txt
rm -f "$record"
PYTHONPATH=target/review-2:target/deps python3 -S -P review/6/case.py
case $? in
    0) grep -q "result: held" "$record" && exit 0 ;;
    1) grep -q "result: broken" "$record" && exit 1 ;;
esac
exit 2
