#!/bin/sh
# Builds the stand-ins of the third review. The build line of the deploy file builds dogwood-edge.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand3 ./review/stand3
