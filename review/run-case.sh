#!/bin/sh
# Runs the case in the folder that is named: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$1
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
test -x "$here/../../target/release/linnetknot" || { echo "the build of the deploy file is missing"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/../lib" python3 "$here/case.py" "$here"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
