#!/usr/bin/env bash
# Runs the case: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in hyssop-router hyssop-scheduler review-driver2; do
  [ -x "target/$program" ] || { echo "target/$program is missing"; exit 2; }
done
exec target/review-driver2 parts-kill "$here/record.txt"
