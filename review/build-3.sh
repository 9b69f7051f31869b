#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. The entry hosts come from the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/_stand3
