#!/usr/bin/env bash
# Plays case 12. Exits with 0 if rule ONE held, 1 if it was broken and 2 if the case could not run.
# TROUBLE=0 leaves out both disruptions, TROUBLE=cut the drill and TROUBLE=drill the cut.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
daemon=target/monsooncrankd
driver=target/review-3/usagecut
if [ ! -x "$daemon" ] || [ ! -x "$driver" ]; then
	echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
	exit 2
fi
"$driver" "$folder/record.txt" "$daemon"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
