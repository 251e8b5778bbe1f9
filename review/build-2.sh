#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; the build of the deploy file has to run first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2 ./review/rig2
