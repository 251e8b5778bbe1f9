#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chervilhead ] && [ -x target/rig ] || { echo "build first: the line of deploy/system.toml, then review/build.sh"; exit 2; }
exec target/rig forget target/chervilhead review/5/record.txt
