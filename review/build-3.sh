#!/bin/sh
# The stand-ins of review/11 to review/15 are Python programs without dependencies, so there is nothing to compile.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "needs Python 3.9 or later"; exit 1; }
