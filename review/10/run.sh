#!/usr/bin/env bash
# Plays case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/review-2/standins2 ] || exit 2
exec target/review-2/standins2 longids review/10
