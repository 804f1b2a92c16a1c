#!/usr/bin/env bash
# Builds what the scripts of review/REPORT-3.md start beside the program of the
# deploy file: the stand-ins in review/standins-3 are Python, so they are only
# checked.
set -eu
cd "$(dirname "$0")"
python3 - standins-3/*.py 1[1-5]/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(encoding="utf-8"), name, "exec")
CHECK
