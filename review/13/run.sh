#!/bin/sh
# Plays an instance that starts again as an evacuation ends. Needs the build line of deploy/system.toml and review/build-3.sh.
# TROUBLE=0: the same evacuations, and the instance is not killed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand3 ] && [ -x target/dogwood-edge ] || exit 2
exec target/review-stand3 -scenario restarted -edge target/dogwood-edge -record review/13/record.txt
