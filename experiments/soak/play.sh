#!/bin/sh
# play.sh [FRESH]: plays the kept seeds of the soak, and then FRESH new ones
# (default 3), one after the other. Exits with 1 if a promise was broken.
cd "$(dirname "$0")/../.." || exit 2
go build -o target/ ./platform/micaplank-edge ./platform/platformtest/soak || exit 2
failed=0
for seed in $(grep -v '^#' experiments/soak/seeds.txt | cut -d' ' -f1); do
	./target/soak --seed "$seed" --duration "${DURATION:-40s}" || failed=1
done
fresh=0
while [ "$fresh" -lt "${1:-3}" ]; do
	fresh=$((fresh + 1))
	./target/soak --duration "${DURATION:-40s}" || failed=1
done
exit $failed
