#!/usr/bin/env bash
# Builds what the scripts start beside the system's own program. The stand-ins are Python 3 without further packages, so
# that there is nothing to compile; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
for it in lib/mesh.py [0-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
