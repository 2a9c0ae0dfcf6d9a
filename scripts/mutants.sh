#!/usr/bin/env bash
# Applies each mutants/*.patch to a copy of the tree and runs the tests named in
# its first line ("# test: ARGUMENTS OF GO TEST"). A mutant that no test catches,
# that does not apply or that does not compile fails the run.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
failed=0
for patch in mutants/*.patch; do
  name=$(basename "$patch" .patch)
  arguments=$(sed -n '1s/^# test: //p' "$patch")
  rm -rf "$copy/tree" && mkdir "$copy/tree"
  git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy/tree"
  if ! (cd "$copy/tree" && git apply --unidiff-zero "mutants/$name.patch"); then
    echo "mutant $name: does not apply"; failed=1; continue
  fi
  # shellcheck disable=SC2086
  if ! (cd "$copy/tree" && go vet ${arguments%% *}) >"$copy/log" 2>&1; then
    echo "mutant $name: does not compile"; cat "$copy/log"; failed=1; continue
  fi
  # shellcheck disable=SC2086
  if (cd "$copy/tree" && go test $arguments) >"$copy/log" 2>&1; then
    echo "mutant $name: NOT caught by go test $arguments"; failed=1
  else
    echo "mutant $name: caught by $(grep -m1 -oE -e '--- FAIL: [A-Za-z0-9_/]+|\[FAIL\] .*' "$copy/log" || echo 'go test')"
  fi
done
exit $failed
