#!/usr/bin/env bash
# Builds the stand-ins of the cases. The entry hosts are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
