#!/bin/sh
# Put the libraries and the workspace's own packages into the folder target/deps; see build.py.
# Without site-packages: only the standard library is used.
set -eu
cd "$(dirname "$0")/.."
exec python3 -S -B -m deploy.build
