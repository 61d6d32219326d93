#!/bin/bash
# The store is down for 4.5 s, in which leases expire, and all processes are killed meanwhile. A tenant sends
# 7.5 times its usual. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without outage and kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/harness ] || exit 2
exec timeout 118 target/review-2/harness quota-restart review/9
