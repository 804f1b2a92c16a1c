#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the restart.
set -u
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null || exit 2
for _ in 1 2; do
  timeout -k 1 58 python3 review/13/case.py
  status=$?
  [ "$status" -gt 1 ] || exit "$status"
done
exit 2
