#!/usr/bin/env bash
# Plays case 11 with 66 daemon processes. Exits with 0 if rule LOST held, 1 if it was broken and 2 if the case
# could not run. TROUBLE=0 leaves out the kill, SINGLE=1 the second version of the workers.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
daemon=target/monsooncrankd
driver=target/review-3/manydaemons
if [ ! -x "$daemon" ] || [ ! -x "$driver" ]; then
	echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
	exit 2
fi
"$driver" some "$folder/record.txt" "$daemon"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
