#!/usr/bin/env bash
# Builds every stand-in that a script of this folder starts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review/ ./review/1
