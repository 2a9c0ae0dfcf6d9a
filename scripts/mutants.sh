#!/usr/bin/env bash
# Runs the tests named in the first line of each mutants/*.patch ("# test:
# ARGUMENTS OF GO TEST") with the patch applied through a build overlay, so that
# only the changed packages are compiled again. A mutant that no test catches,
# that does not apply or that does not compile fails the run.
#
# JOBS sets how many mutants run at the same time; MUTANTS selects by a glob.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

run_mutant() {
  local patch=$1 work=$2
  local name dir arguments file
  name=$(basename "$patch" .patch)
  dir=$work/$name
  arguments=$(sed -n '1s/^# test: //p' "$patch")
  mkdir -p "$dir/tree"
  for file in $(sed -n 's|^+++ b/||p' "$patch"); do
    mkdir -p "$dir/tree/$(dirname "$file")"
    cp "$file" "$dir/tree/$file"
  done
  if ! (cd "$dir/tree" && git init -q . && git apply --unidiff-zero "$OLDPWD/$patch") 2>"$dir/log"; then
    echo "mutant $name: does not apply"; return 1
  fi
  {
    echo '{"Replace": {'
    sed -n 's|^+++ b/||p' "$patch" | sed "s|.*|\"$PWD/&\": \"$dir/tree/&\"|" | paste -sd, -
    echo '}}'
  } >"$dir/overlay.json"
  # shellcheck disable=SC2086
  if ! go test -overlay "$dir/overlay.json" -run '^$' ${arguments%% *} >"$dir/log" 2>&1; then
    echo "mutant $name: does not compile"; cat "$dir/log"; return 1
  fi
  # shellcheck disable=SC2086
  if go test -overlay "$dir/overlay.json" $arguments >"$dir/log" 2>&1; then
    echo "mutant $name: NOT caught by go test $arguments"; return 1
  fi
  echo "mutant $name: caught by $(grep -m1 -oE -e '--- FAIL: [A-Za-z0-9_/]+|\[FAIL\] .*' "$dir/log" || echo 'go test')"
}
export -f run_mutant

ls mutants/${MUTANTS:-*}.patch | xargs -P "${JOBS:-4}" -I{} bash -c 'run_mutant "$1" "$2"' _ {} "$work"
