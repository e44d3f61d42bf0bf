#!/usr/bin/env bash
# Plays the case. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/micaplank-edge ] || [ ! -x target/review/1 ]; then
  echo "review/1: run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec target/review/1 -trouble=$trouble -record review/1/record.txt
