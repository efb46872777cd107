#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2
# if the case could not run. TROUBLE=0 leaves the requests that crash runners out.
cd "$(dirname "$0")" || exit 2
exec ../../target/second -program ../../target/laburnumline -case parts -record record.txt
