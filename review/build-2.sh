#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file. The stand-ins are Python
# of the standard library alone and need no build: this checks that an interpreter is here and reads them.
set -e
cd "$(dirname "$0")"
python3 - lib-2/*.py [6-9]/case.py 10/case.py <<'PY'
import os, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sys.argv[1:]:
    if os.path.exists(path):
        compile(open(path).read(), path, "exec")
PY
