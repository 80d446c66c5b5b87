#!/bin/sh
# Checks that the scripts of cases 11 to 15 and their stand-ins compile.
# They need Python's standard library only; the VMs come from the deploy file's
# build.
set -e
cd "$(dirname "$0")"
for file in stage_3.py 1[1-5]/play.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
