#!/bin/sh
# Usage: review/11/run.sh, or TROUBLE=0 review/11/run.sh. Exit code 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")" && exec python3 -B case.py
