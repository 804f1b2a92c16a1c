#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with no library but the
# C library. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.c; do
  name=$(basename "$(dirname "$source")")
  "${CC:-cc}" -std=gnu11 -O1 -g -Wall -pthread -Ireview/standins \
    -o "target/review/case-$name" "$source" review/standins/lab.c
done
