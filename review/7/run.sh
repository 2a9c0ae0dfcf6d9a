#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption, CHANGE=0 the store that turns machines away.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/monsooncrankd ] && [ -x target/review-2/cases ] || exit 2
exec target/review-2/cases versions-joined "$folder"
