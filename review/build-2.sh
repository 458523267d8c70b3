#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The daemon is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standins-2 ./review/standin2/platform
