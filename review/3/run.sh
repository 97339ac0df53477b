#!/bin/sh
# Runs this case; it writes record.txt beside this script. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../run-case.sh" "$here"
