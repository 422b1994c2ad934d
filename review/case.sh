#!/bin/sh
# Plays one case: case.sh FOLDER NAME. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ -z "$run" ] || [ ! -x bin/forkline ] || [ ! -x bin/review-standin ]; then
  echo 'case.sh: run the build of deploy/balancer.toml and review/build.sh first' >&2
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec bin/review-standin -case "$2" -record "review/$1/record.txt" -root "$PWD" -run "$run" -trouble="$trouble"
