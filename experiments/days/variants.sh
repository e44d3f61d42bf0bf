#!/usr/bin/env bash
# Writes variants of a site file beside a copy of its wire file: more machines
# than a leaf takes connections, few machines, requests that may not be
# repeated, fewer large machines. usage: variants.sh SITE OUT
set -euo pipefail
site=$1 out=$2
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"
sed -E '/class = "front"/s/count = [0-9]+/count = 20/' "$site" >"$out/many.toml"
sed -E '/class = "front"/s/count = [0-9]+/count = 1/' "$site" >"$out/few.toml"
sed -E '/name = "(archive-pull|tap-lookup)", aim_ms/s/aim_ms/kind = "unsafe", aim_ms/' "$site" >"$out/once.toml"
# A third of the largest machines, where there are several sizes.
largest=$(grep -oE 'class = "front", cpu_share = [0-9.]+' "$site" | grep -oE '[0-9.]+$' | sort -rn | head -1)
sed -E "/class = \"front\", cpu_share = ${largest//./\\.},/s/count = 3/count = 1/" "$site" >"$out/fewer_large.toml"
