#!/usr/bin/env bash
# Runs case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cowslipgapd ] && [ -x target/review2/stand ] || exit 2
exec target/review2/stand waiting review/7/record.txt
