#!/usr/bin/env bash
# Builds the scripts of the cases 4 to 8, with the stand-ins that they start in their own processes.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[4-8]; do
  if compgen -G "$case/*.go" >/dev/null; then
    go build -o "target/review-2/case$(basename "$case")" "./$case"
  fi
done
