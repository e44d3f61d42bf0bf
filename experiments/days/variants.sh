#!/usr/bin/env bash
# Writes variants of any site file beside a copy of its wire file: deployments of
# the same kind that nobody has tuned for. usage: variants.sh SITE OUT [NAME...]
# (all variants by default). Each is played with the days of deploy/days.
set -euo pipefail
site=$1 out=$2
shift 2
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"

# zone N prints the name of the N-th zone, and largest the cores of the largest
# machines.
zone() { sed -n '/^zones = \[/,/^\]/s/.*name = "\([^"]*\)".*/\1/p' "$site" | sed -n "${1}p"; }
largest() { grep -oE 'class = "front", cpu_share = [0-9.]+' "$site" | grep -oE '[0-9.]+$' | sort -rn | head -1; }

# on_leaves SCRIPT edits the lines of services alone.
on_leaves() { sed -E "/servers = \[/{$1}" "$site"; }

# scaled FIELD FACTOR multiplies all values of a field.
scaled() {
  awk -v field="$1 = " -v factor="$2" '{
    rest = $0; line = ""
    while ((at = index(rest, field)) > 0) {
      line = line substr(rest, 1, at + length(field) - 1)
      rest = substr(rest, at + length(field))
      match(rest, /^[0-9.]+/)
      value = substr(rest, 1, RLENGTH) * factor
      line = line (index(substr(rest, 1, RLENGTH), ".") ? sprintf("%.5f", value) : sprintf("%d", value))
      rest = substr(rest, RLENGTH + 1)
    }
    print line rest
  }' "$site"
}

many() { sed -E '/class = "front"/s/count = [0-9]+/count = 20/' "$site"; }
few() { sed -E '/class = "front"/s/count = [0-9]+/count = 1/' "$site"; }
once() { sed -E '/name = "(archive-pull|tap-lookup)", aim_ms/{/kind = /!s/aim_ms/kind = "unsafe", aim_ms/}' "$site"; }
# One of the largest machines in each zone, where there are several sizes.
fewer_large() { local most; most=$(largest); sed -E "/class = \"front\", cpu_share = ${most//./\\.},/s/count = [0-9]+/count = 1/" "$site"; }
# All machines are of the size of the first ones in the file, or of the last ones.
alike() {
  local size; size=$(grep -oE 'class = "front", cpu_share = [0-9.]+, cores = [0-9]+, memory_mb = [0-9]+' "$site" | "$1" -1)
  sed -E "s/class = \"front\", cpu_share = [0-9.]+, cores = [0-9]+, memory_mb = [0-9]+/$size/" "$site"
}
alike_large() { alike head; }
alike_small() { alike tail; }
# The leaves of the third zone are in the first one.
two_zones() { on_leaves "s/zone = \"$(zone 3)\"/zone = \"$(zone 1)\"/g"; }
replicas_2() { on_leaves 's/(servers = \[\{[^}]*\}, \{[^}]*\}), \{[^]]*\]/\1]/'; }
# One leaf of each service more, in its first zone.
replicas_more() { on_leaves 's/count = 1/count = 2/'; }
cold() { on_leaves "s/cold_s = /cold_per_s = $1.0, cold_s = /"; }
cold_8() { cold 8; }
cold_20() { cold 20; }
cold_60() { cold 60; }
connections_half() { scaled conn_cap 0.5; }
pauses_long() { scaled pause_ms 2; }
# Bounds, objectives and prices of another operator.
tight_bounds() { sed -E 's/^(drain_ms|config_ms) = .*/\1 = 2500/; s/^budget_ratio = .*/budget_ratio = 0.1/; s/^budget_slack = .*/budget_slack = 40.5/' "$site"; }
tight_aims() { scaled aim_ms 0.75; }
dear() { scaled handshake 3 | site=/dev/stdin scaled cloud_call 3 | site=/dev/stdin scaled cross_zone_gb 3; }
strict() { sed -E 's/^\[timing\]$/[timing]\ntruthful = true/; s/^\[bounds\]$/[bounds]\neven = true\ncloses = true\nattends = true/' "$site"; }

all="many few once fewer_large alike_large alike_small two_zones replicas_2 replicas_more cold_8 cold_20 cold_60
  connections_half pauses_long tight_bounds tight_aims dear strict"
for name in ${*:-$all}; do
  "$name" >"$out/$name.toml"
done
