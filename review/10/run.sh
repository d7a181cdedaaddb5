#!/usr/bin/env bash
# Plays case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/platform ] || [ ! -x target/review-2/standins2 ]; then
	echo "run the build line of deploy/system.toml and review/build-2.sh first"
	exit 2
fi
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 target/review-2/standins2 crashing review/10
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
