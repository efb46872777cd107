#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/second
