#!/usr/bin/env bash
# Exit status: 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 112 target/review-3/standin unnoticed-loss target/deploy/berylvalve-node review/13/record.txt
status=$?
((status == 0 || status == 1)) || status=2
exit "$status"
