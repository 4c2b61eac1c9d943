#!/bin/sh
# Plays an endpoint that turns a request away and wants none for 90 s. Needs the build line of deploy/system.toml and review/build-3.sh.
# TROUBLE=0: it turns none away.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand3 ] && [ -x target/dogwood-edge ] || exit 2
exec target/review-stand3 -scenario wait -edge target/dogwood-edge -record review/13/record.txt
