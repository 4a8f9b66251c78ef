#!/usr/bin/env bash
# Plays case 3 and writes record.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/masticturn ] && [ -x target/review-standin ] || { echo 'build target/masticturn and run review/build.sh first'; exit 2; }
exec target/review-standin -case 3 -record review/3/record.txt
