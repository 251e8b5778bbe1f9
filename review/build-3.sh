#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/rig3
