#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/pier-edge ] || [ ! -x target/stand ]; then
  echo "target/pier-edge or target/stand is missing: run the build of the deploy file and review/build.sh" >&2
  exit 2
fi
timeout -k 3 115 target/stand parts "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
