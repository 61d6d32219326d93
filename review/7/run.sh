#!/bin/bash
# The configuration grows to nearly the largest value of the store, then all processes are killed.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without growth and kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/harness ] || exit 2
exec timeout 118 target/review-2/harness large-configuration review/7
