#!/bin/sh
# Plays the case in this folder. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review ] && [ -x target/monsooncrankd ] || exit 2
exec target/review drill "$folder"
