#!/usr/bin/env bash
# Plays the case (see claim.txt) and writes record.txt beside this file. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without the disruption.
# Needs the build of the deploy file, then review/build-2.sh.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
driver=target/review-2/late_heartbeat
[ -x "$driver" ] || { echo "run review/build-2.sh first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec "$driver" "$folder"
