#!/bin/sh
# The stand-ins are Python without dependencies: this only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
