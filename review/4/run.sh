#!/usr/bin/env bash
# Runs the case: 1: the rule was broken, 0: it held, 2: the case could not run. With TROUBLE=0 without the disruption.
# Writes record.txt beside this file.
cd "$(dirname "$0")" || exit 2
python3 -c 'import tomllib' 2> /dev/null || exit 2 # Python 3.11 or later
exec python3 -B case.py
