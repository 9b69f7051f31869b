#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review3 ] || [ ! -x target/cowslipgapd ]; then
  echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
# TROUBLE=0 leaves the disruption out; review/_stand3/main.go reads it.
export TROUBLE="${TROUBLE:-1}"
exec target/review3 longago review/14/record.txt
