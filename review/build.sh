#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, one program a case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]; do
  if [ -f "$case/main.go" ]; then
    go build -o "target/$case" "./$case"
  fi
done
