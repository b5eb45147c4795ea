#!/usr/bin/env bash
# Takes out one safety check after the other and demands that the named rule is then broken, and no other than those it
# names. Needs a built project (mvn -B package -DskipTests). Usage: test-fleet/mutations/run.sh [NAME...]
set -uo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

try() {
  local file="$1" name rule also scenario seeds about copy out broken extra
  name="$(basename "$file" .patch)"
  field() { sed -n "s/^$1: //p" "$file" | head -1; }
  rule="$(field breaks)" also="$(field also)" scenario="$(field scenario)" seeds="$(field seeds)"
  copy="$work/$name"
  mkdir -p "$copy/classes"
  cp -r "$root"/core-logic "$copy/" 2> /dev/null
  if ! (cd "$copy" && patch -s -p1 < "$file" > "$copy/patch.log" 2>&1); then
    echo "| $name | $rule | does not apply | FAULT |"; return 1
  fi
  if ! javac -nowarn -proc:none -cp "$root/target/lib/*" -d "$copy/classes" \
      $(sed -n 's#^+++ b/##p' "$file" | sed "s#^#$copy/#") > "$copy/javac.log" 2>&1; then
    echo "| $name | $rule | does not compile | FAULT |"; return 1
  fi
  out="$copy/out"
  java -cp "$copy/classes:$root/target/lib/*" applespindle.testfleet.scenario.ScenarioProgram \
    "$root/test-fleet/src/test/resources/scenarios/$scenario" --seeds $seeds > "$out" 2>&1
  broken="$(sed -n 's/^    broken: //p' "$out" | tr ' ' '\n' | sort | uniq -c | awk '{printf "%s%s (%s)", s, $2, $1; s = ", "}')"
  extra="$(sed -n 's/^    broken: //p' "$out" | tr ' ' '\n' | sort -u | grep -vxF "$(printf '%s\n' $rule $also EXPECTATION)")"
  local verdict=good
  [[ "$broken" == *"$rule ("* ]] || verdict="FAULT: $rule is not broken"
  [[ -z "$extra" ]] || verdict="FAULT: breaks $extra too"
  echo "| $name | $rule | $scenario, $(grep -c ' seed ' "$out") seeds | $broken | $verdict |"
  [[ "$verdict" == good ]]
}
export -f try
export root work
names=("$@")
[[ ${#names[@]} -gt 0 ]] || names=($(cd "$root/test-fleet/mutations" && ls *.patch | sed 's/\.patch$//'))
printf '%s\n' "${names[@]}" | xargs -P 4 -I{} bash -c "try '$root/test-fleet/mutations/{}.patch'" > "$work/table"
status=$?
echo "| taken out | must break | scenario | broken in so many seeds | |"
echo "|---|---|---|---|---|"
sort "$work/table"
exit $status
