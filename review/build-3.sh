#!/bin/sh
# Checks the stand-ins and the scripts of cases 11 to 15. They are plain Python of the standard
# library, so there is nothing to compile or install beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/laburnumbridge || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/standins-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins of review 3: ready"
