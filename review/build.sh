#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
