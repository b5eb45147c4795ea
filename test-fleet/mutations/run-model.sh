#!/usr/bin/env bash
# Takes out one check of the replicated log after the other and demands that the model check finds it: each patch
# names the plan and the search, and the invariants of which one must break. Needs compiled classes and tests
# (mvn -B -pl core-logic test-compile). Usage: test-fleet/mutations/run-model.sh [NAME...]
# SECONDS_MOST: time for each search, 120 if not set. JOBS: searches at once, 2 if not set.
set -uo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
seconds="${SECONDS_MOST:-120}"
jobs="${JOBS:-2}"
(cd "$root" && mvn -B -q -o -pl core-logic dependency:build-classpath -Dmdep.outputFile="$work/classpath") > /dev/null
libraries="$(cat "$work/classpath")"

try() {
  local file="$1" name plan search invariants copy out broken figures steps verdict
  name="$(basename "$file" .patch)"
  field() { sed -n "s/^$1: //p" "$file" | head -1; }
  plan="$(field model | cut -d' ' -f1)" search="$(field model | cut -d' ' -f2)" invariants="$(field invariants)"
  copy="$work/$name"
  mkdir -p "$copy/classes" "$copy/core-logic"
  cp -r "$root/core-logic/src" "$copy/core-logic/"
  if ! (cd "$copy" && patch -s -p1 < "$file" > "$copy/patch.log" 2>&1); then
    echo "| $name | $plan $search | does not apply | FAULT |"; return 1
  fi
  if ! javac -nowarn -proc:none -cp "$root/core-logic/target/classes:$libraries" -d "$copy/classes" \
      $(sed -n 's#^+++ b/##p' "$file" | sed "s#^#$copy/#") > "$copy/javac.log" 2>&1; then
    echo "| $name | $plan $search | does not compile | FAULT |"; return 1
  fi
  out="$copy/out"
  java -XX:+UseSerialGC -cp "$copy/classes:$root/core-logic/target/classes:$root/core-logic/target/test-classes:$libraries" \
    applespindle.corelogic.replication.ReplicatedLogModelProgram "$search" "$plan" "$seconds" 50000000 1 > "$out" 2>&1
  broken="$(sed -n 's/^  broken: \([A-Z_]*\):.*/\1/p' "$out" | head -1)"
  figures="$(sed -n 's/^plan=.* \(states=[0-9]*\) .* \(ms=[0-9]*\)$/\1 \2/p' "$out")"
  steps="$(grep -c '^  ' "$out")"
  verdict=good
  [[ -n "$broken" && " $invariants " == *" $broken "* ]] || verdict="FAULT: expected one of $invariants"
  echo "| $name | $plan $search | ${broken:-nothing}, $figures, run of $((steps - 1)) steps | $verdict |"
  if [[ -n "${KEEP:-}" ]]; then cp "$out" "$KEEP/$name.out"; fi
  [[ "$verdict" == good ]]
}
export -f try
export root work seconds libraries
names=("$@")
[[ ${#names[@]} -gt 0 ]] || names=($(cd "$root/test-fleet/mutations" && grep -l '^model: ' *.patch model/*.patch | sed 's/\.patch$//'))
printf '%s\n' "${names[@]}" | xargs -P "$jobs" -I{} bash -c "try '$root/test-fleet/mutations/{}.patch'" > "$work/table"
status=$?
echo "| taken out | plan and search | broken, states reached | |"
echo "|---|---|---|---|"
sort "$work/table"
exit $status
