#!/usr/bin/env bash
# Plays this case and writes record.txt beside this file. TROUBLE=0 leaves the disturbance out.
# Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-rig ] && [ -x target/laburnumline ] || exit 2
exec target/review-rig --case stale --record "$here/record.txt"
