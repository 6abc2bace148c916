#!/usr/bin/env bash
# Plays case 10 after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule
# was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-2/standin2 back target/cranberrypath review/10/record.txt
