#!/usr/bin/env bash
# Runs the script of one case: run_case.sh N. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
number=$1
cd "$(dirname "$0")/../.."
program=review/bin/case$number
for needed in "$program" target/bin/verbenaridge-ingress; do
  [ -x "$needed" ] || { echo "$needed is missing: build with deploy/system.toml and review/build.sh"; exit 2; }
done
folder=$(mktemp -d)
finish() {
  # Processes of hosts that the case has not ended itself, as when it was ended from outside.
  if [ -e "$folder/pids" ]; then
    while read -r pid; do
      [ "$(readlink -f "/proc/$pid/exe" 2>/dev/null)" = "$(readlink -f target/bin/verbenaridge-ingress)" ] && kill -KILL "$pid"
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap finish EXIT
timeout --kill-after=2 110 "$program" "$folder" "review/$number/record.txt"
outcome=$?
case $outcome in
  0) echo "case $number: the rule holds" ;;
  1) echo "case $number: the rule is broken" ;;
  *) outcome=2; echo "case $number: could not run" ;;
esac
exit $outcome
