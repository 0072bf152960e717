#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run goes to record.txt.
cd "$(dirname "$0")" || exit 2
case="../../target/review/release/review-case"
[ -x "$case" ] && [ -x ../../target/release/carawayd ] || exit 2
exec "$case" stopping-host .
