#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/third/drill ./review/third/idle ./review/third/leaving ./review/third/versions
