#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../run-case.sh" "$here"
