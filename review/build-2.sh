#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The daemon is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/bench
go build -o target/bench/review-2 ./review/standin2
