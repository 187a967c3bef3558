#!/bin/sh
# Builds what the scripts in review/7 to review/10 start: the processes of the deploy file, and the stand-ins, which are
# Python without dependencies.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
python3 -m py_compile review/standins-2/*.py
rm -rf review/standins-2/__pycache__
