#!/bin/sh
# mixed.sh REVISION [FRESH] [NODES]: plays FRESH new seeds of the soak (default 1) on a
# fleet of two versions, NODES nodes (default 10): those of an odd number run this tree,
# the others REVISION. All read the settings of REVISION: it rejects those that came
# later. Exits with 1 if a promise was broken.
cd "$(dirname "$0")/../.." || exit 2
former=$(git rev-parse --verify "$1^{commit}") || exit 2
folder=$(mktemp -d) || exit 2
trap 'git worktree remove --force "$folder/former"; rm -rf "$folder"' EXIT
git worktree add --quiet --detach "$folder/former" "$former" || exit 2
(cd "$folder/former" && go build -o "$folder/edge-former" ./platform/micaplank-edge) || exit 2
go build -o target/ ./platform/micaplank-edge ./platform/platformtest/soak || exit 2
cat >"$folder/edge" <<END
#!/bin/sh
# The settings of a node are in a file that bears its number.
case "\$2" in
*[13579].toml) exec "$PWD/target/micaplank-edge" "\$@" ;;
*) exec "$folder/edge-former" "\$@" ;;
esac
END
chmod +x "$folder/edge"
failed=0
played=0
while [ "$played" -lt "${2:-1}" ]; do
	played=$((played + 1))
	./target/soak --binary "$folder/edge" --template "$folder/former/deploy/micaplank.toml.tmpl" --nodes "${3:-10}" --duration "${DURATION:-40s}" || failed=1
done
exit $failed
