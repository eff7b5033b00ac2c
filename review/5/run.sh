#!/bin/bash
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
TMPDIR=$(mktemp -d) || exit 2
export RUN_COMMAND TMPDIR LOG_LEVEL=info
timeout -k 1 118 target/review-2/repeated_start review/5
status=$?
rm -rf "$TMPDIR"
[ "$status" -le 2 ] || status=2
exit "$status"
