#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-cases ] && [ -x target/dogwood-edge ] || { echo "build first: deploy/system.toml and review/build.sh"; exit 2; }
exec target/review-cases restarts target/dogwood-edge review/5/record.txt
