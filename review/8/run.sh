#!/bin/sh
# Runs this case; it writes record.txt beside this script. TROUBLE=0 leaves the disruption out.
exec python3 "$(dirname "$0")/case.py"
