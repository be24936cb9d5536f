#!/usr/bin/env bash
# Prepares the stand-ins of the cases 4 to 8. They are Python programs of the standard library alone, so there is nothing to
# compile: this checks that each of them can be read by the Python that is here.
set -eu
cd "$(dirname "$0")"
for n in 4 5 6 7 8; do
    [ -d "$n" ] || continue
    for it in "$n"/*.py; do
        [ -f "$it" ] && python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
    done
done
python3 -c 'import tomllib'
echo "the stand-ins of the review are ready"
