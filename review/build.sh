#!/bin/sh
# Check that all stand-ins compile; they need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [123]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
