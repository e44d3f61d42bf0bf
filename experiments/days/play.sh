#!/usr/bin/env bash
# Plays days of our own on a site, some at a time, and prints a line for each.
# usage: play.sh BENCH SITE WHY [DAY...]   (all days of deploy/days by default)
# JOBS sets how many are played at once; the whole output is kept in OUT.
set -uo pipefail
bench=$1 site=$2 why=$3
shift 3
folder=$(cd "$(dirname "$0")/../../deploy/days" && pwd)
out=${OUT:-$(mktemp -d)}
mkdir -p "$out" || exit 1
[ $# -gt 0 ] || set -- "$folder"/*.toml
"$bench" build >/dev/null || exit 1
play() {
  local name
  name=$(basename "$4" .toml)
  "$1" run "$2" "$4" --why "$3: $name" --jobs 1 >"$5/$name.txt" 2>&1
  awk -v name="$name" '$1 == name && /prices/ { day = substr($0, 1, 150) }
    /^(rules broken|[A-Z]+ at )/ { said = said "; " substr($0, 1, 160) }
    END { print (day ? day : name " not played"), said }' "$5/$name.txt"
}
export -f play
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} bash -c 'play "$0" "$1" "$2" "{}" "$3"' "$bench" "$site" "$why" "$out"
echo "output: $out"
