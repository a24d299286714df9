#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the project's own programs: its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/harness-2 ./review/harness-2
