#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the router of the deploy file. Their stand-ins are the Python
# files in review/parts-2 and the case folders, which need nothing built: this checks that they can be read and run.
set -eu
cd "$(dirname "$0")"
for each in parts-2/*.py [6-9]/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$each"
done
echo "the stand-ins of review/parts-2 can be run"
