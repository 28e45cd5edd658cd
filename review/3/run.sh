#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/cornelyard-gateway target/cornelyard-review; do
	[ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
timeout --foreground 110 target/cornelyard-review takeup review/3/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
