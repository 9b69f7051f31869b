#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6 to 10. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review2/stand ./review/_stand2
