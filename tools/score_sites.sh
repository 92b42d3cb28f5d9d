#!/usr/bin/env bash
# Scores sites with the users' bench and prints the worth of each day beside the committed baseline.
#
#   FLEETBENCH=PROGRAM tools/score_sites.sh [--quick] [--small] [--jobs N] SITE.toml ...
#
# The baseline is docs/baseline_scores.tsv: site, day, worth. The exit code is 1 if a rule is broken, a gate fails, or a
# day is more than 0.03 below its baseline, which is the bench's own noise.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?the bench program}"
options=() sites=()
while [ $# -gt 0 ]; do
  case $1 in
    --jobs) options+=("$1" "$2"); shift ;;
    --*) options+=("$1") ;;
    *) sites+=("$1") ;;
  esac
  shift
done
[ ${#sites[@]} -gt 0 ] || { echo "usage: tools/score_sites.sh [--quick] [--small] [--jobs N] SITE.toml ..." >&2; exit 2; }

failed=0
printf '%-24s %-12s %7s %9s %7s %s\n' site day worth baseline change remarks
for site in "${sites[@]}"; do
  mark=$(mktemp)
  "$FLEETBENCH" score "$site" "${options[@]}" --why "regression run" >"$mark.out" 2>&1 || true
  entry=$(find journal -maxdepth 1 -name '*.json' -newer "$mark" | sort | tail -n 1)
  if [ -z "$entry" ]; then
    echo "$site: no entry in the journal; the bench printed:" >&2
    tail -n 5 "$mark.out" >&2
    failed=1
    continue
  fi
  jq -r '.site as $site | .days[] |
    [$site, .name, .G, (.rules | keys | join(",")), (if .gate then "" else "gate failed" end)] | join("\t")' "$entry" |
    awk -F'\t' 'NR == FNR { baseline[$1, $2] = $3; next }
      { known = ($1, $2) in baseline
        change = known ? $3 - baseline[$1, $2] : 0
        remarks = $4 (($4 != "" && $5 != "") ? ", " : "") $5
        if (change < -0.03) remarks = remarks (remarks == "" ? "" : ", ") "below the baseline"
        if (remarks != "") bad = 1
        printf "%-24s %-12s %7.3f %9s %7s %s\n", $1, $2, $3, known ? sprintf("%.3f", baseline[$1, $2]) : "-",
               known ? sprintf("%+.3f", change) : "-", remarks }
      END { exit bad }' docs/baseline_scores.tsv - || failed=1
  rm -f "$mark" "$mark.out"
done
exit "$failed"
