#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
export RUN_COMMAND
[ -x target/review-2/burst_of_arrays ] && [ -x "${RUN_COMMAND%% *}" ] || exit 2
exec target/review-2/burst_of_arrays review/8/record.txt
