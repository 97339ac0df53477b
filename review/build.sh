#!/bin/sh
# The stand-ins are Python programs that use the standard library alone: there is nothing to compile, only to check.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"'
for file in lib/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
