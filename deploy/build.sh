#!/bin/sh
# Installs into target/deps what the platform's processes import; works from a clean checkout.
set -eu
requirements=deploy/requirements.txt
stamp=target/.requirements
if ! cmp -s "$requirements" "$stamp"; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps -r "$requirements"
    cp "$requirements" "$stamp"
fi
rm -rf target/deps/laburnumbridge
for source in libs/core libs/flows libs/catalog libs/forwarding platform; do
    cp -R "$source/src/laburnumbridge" target/deps/
done
python3 -m compileall -q target/deps/laburnumbridge
