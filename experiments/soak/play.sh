#!/bin/sh
# play.sh [FRESH]: plays the kept seeds of the soak, and then FRESH new ones
# (default 3), one after the other. A kept seed is played with the crashes of
# leaves if it stands as SEED+crashes: those kept before stay what they were. Exits with 1 if a promise was broken.
cd "$(dirname "$0")/../.." || exit 2
go build -o target/ ./platform/micaplank-edge ./platform/platformtest/soak || exit 2
failed=0
for seed in $(grep -v '^#' experiments/soak/seeds.txt | cut -d' ' -f1); do
	case $seed in *+crashes) crashes=true ;; *) crashes=false ;; esac
	./target/soak --seed "${seed%+crashes}" --crashes="$crashes" --duration "${DURATION:-40s}" || failed=1
done
fresh=0
while [ "$fresh" -lt "${1:-3}" ]; do
	fresh=$((fresh + 1))
	./target/soak --duration "${DURATION:-40s}" || failed=1
done
exit $failed
