#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't be played.
# TROUBLE=0 does the same without the disruption. Needs the build of the deploy file and review/build-3.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/chervilhead ] && [ -x target/review-3 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-3 doubtful-version "$here/record.txt"
