#!/bin/sh
# Put the libraries and the workspace's own packages under target/deps, compiled: a process cannot
# write there, and would else compile every module again at each start.
set -eu
cd "$(dirname "$0")/.."
stamp=target/.deps-stamp
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    rm -rf target/deps
    mkdir -p target
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    touch "$stamp"
fi
for package in packages/turmericweir-core/turmericweir_core packages/turmericweir/turmericweir \
    platform/turmericweir_platform; do
    rm -rf "target/deps/$(basename "$package")"
    cp -r "$package" target/deps/
done
python3 -m compileall -q target/deps
