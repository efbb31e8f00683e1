#!/usr/bin/env bash
# Runs this case; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
# With TROUBLE=0 the disruption is left out.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case.sh" "$(basename "$here")"
