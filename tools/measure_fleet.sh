#!/usr/bin/env bash
# Measures fleets of real daemons on one machine, at rest and under plan changes, and prints one table row per size.
# Usage: BIN=build/bin tools/measure_fleet.sh [SIZE ...]   (default 5 15 30 60)
# REST_S, CHANGES, PHASE_S, ACCOUNTS, ENDPOINTS and REQUESTS set the time at rest, the changes per phase,
# the time limit of a phase, the client accounts of the plan, the endpoints, and the requests sent per output length.
set -euo pipefail
bin=${BIN:-build/bin}
rest_s=${REST_S:-30}
changes=${CHANGES:-20}
endpoints_wanted=${ENDPOINTS:-0}  # 0: half the daemons and one, at most 20
summaries_s=${SUMMARIES_S:-60}
requests=${REQUESTS:-0}          # 0: no requests are sent
account_count=${ACCOUNTS:-10}
phase_s=${PHASE_S:-120}
max_servers=${MAX_SERVERS:-58}  # leaves room for this script and its tools within 64 processes
min_endpoint_processes=3
first_port=${FIRST_PORT:-20000}
work=$(mktemp -d)
centres=(furano nakafurano biei)
model=lavender-7b
caller_key=measure-caller-key
pids=()

stop_all() {
  [ ${#pids[@]} -eq 0 ] && return 0
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

now_ms() { now=$((${EPOCHREALTIME/[.,]/} / 1000)); }

# Prints the elements joined by commas.
join() { local IFS=,; echo "$*"; }

write_settings() {
  local i e peers hosts=() endpoints=() daemon_peers
  for ((i = 0; i < daemons; i++)); do
    peers[i]="{\"host\":\"h$i\",\"data_centre\":\"${centres[i % 3]}\",\"inner\":\"127.0.0.1:$((port + 500 + i))\"}"
    hosts+=("{\"host\":\"h$i\",\"data_centre\":\"${centres[i % 3]}\",\"ip\":\"127.0.0.1\",\
\"port\":$((port + 500 + i)),\"state\":\"live\"}")
  done
  for ((e = 0; e < endpoint_count; e++)); do
    endpoints+=("{\"id\":\"e$e\",\"data_centre\":\"${centres[e % 3]}\",\
\"url\":\"http://127.0.0.1:$((port + 700 + e % endpoint_processes))\",\"models\":[\"$model\"],\
\"kv_capacity_bytes\":8000000000,\"kv_bytes_per_token\":100000,\
\"prefill_tokens_per_second\":8000,\"decode_step_ms\":20}")
  done
  for ((i = 0; i < daemons; i++)); do
    daemon_peers=("${peers[@]}")
    unset 'daemon_peers[i]'
    cat >"$work/h$i.json" <<JSON
{"host":"h$i","data_centre":"${centres[i % 3]}","addresses":{"callers":"127.0.0.1:$((port + 100 + i))",
"operators":"127.0.0.1:$((port + 300 + i))","inner":"127.0.0.1:$((port + 500 + i))"},
"fleet_keys":["measure-fleet-key-0001"],"operator_keys":["measure-operator-key-01"],
"platform":{"key_value_store":"$store","host_list":"$store"},
"data_centres":[{"id":"furano","region":"r"},{"id":"nakafurano","region":"r"},{"id":"biei","region":"r"}],
"peers":[$(join "${daemon_peers[@]}")],"endpoints":[$(join "${endpoints[@]}")],"log":{"level":"warn"}}
JSON
  done
  echo "{\"hosts\":[$(join "${hosts[@]}")]}" >"$work/hosts.json"
}

# Writes a plan of ACCOUNTS client accounts; the weight makes each version differ from the one before.
write_plan() {
  local a hash accounts=()
  for ((a = 0; a < account_count; a++)); do
    printf -v hash '%064x' $((a + 1))
    [ "$a" -eq 0 ] && hash=$(printf %s "$caller_key" | sha256sum | cut -c1-64)
    accounts+=("{\"client_account\":\"account-$a\",\"plan\":\"buyers\",\"key_hashes\":[\"$hash\"],\
\"weight\":$1,\"default_priority\":\"urgent\",\"default_deadline_ms\":30000}")
  done
  echo "{\"client_accounts\":[$(join "${accounts[@]}")],\"plans\":[{\"id\":\"buyers\",\"models\":[\"$model\"],\
\"services\":[],\"priorities\":[\"urgent\",\"standard\"],\"requests_per_second\":100000,\"tokens_per_second\":50000000,\
\"concurrent_cost_seconds\":100000,\"max_prompt_tokens\":1000000}],\"history\":[]}" >"$work/plan.json"
}

start_fleet() {
  local i e
  "$bin/fake_platform" --port "$port" >/dev/null 2>"$work/platform.err" & pids+=($!)
  for ((e = 0; e < endpoint_processes; e++)); do
    "$bin/fake_endpoint" --port $((port + 700 + e)) --models "$model" --time-scale 20 \
      >/dev/null 2>>"$work/endpoint.err" & pids+=($!)
  done
  curl -s -o /dev/null --retry 20 --retry-connrefused --retry-delay 1 "$store/counters"
  curl -sf -o /dev/null -X PUT --data-binary "@$work/hosts.json" "$store/set-hosts"
  daemon_pids=()
  status_urls=()
  for ((i = 0; i < daemons; i++)); do
    "$bin/verbenaridged" --config "$work/h$i.json" >"$work/h$i.log" 2>&1 & pids+=($!)
    daemon_pids+=($!)
    status_urls+=("http://127.0.0.1:$((port + 300 + i))/status")
  done
}

# Sets at_version to the number of daemons whose status shows the plan version $1.
count_at_version() {
  local text rest
  text=$(curl -s -m 5 "${status_urls[@]}" || true)
  rest=${text//\"version\":$1,\"watches_store\"/}
  at_version=$(((${#text} - ${#rest}) / (${#1} + 26)))
}

# Applies the plan file as version $1. Sets tool_ms, tool_rc and everywhere_ms (-1: not within 20 s).
apply_plan() {
  local begin
  now_ms; begin=$now
  {
    rc=0
    "$bin/verbenaridgectl" apply "$work/plan.json" --store "$store" --author measure --wait 20 \
      --data-centres furano,nakafurano,biei >"$work/apply.out" 2>&1 || rc=$?
    now_ms; echo "$((now - begin)) $rc" >"$work/apply.time"
  } &
  local tool=$!
  everywhere_ms=-1
  while now_ms; [ $((now - begin)) -lt 20000 ]; do
    count_at_version "$1"
    if [ "$at_version" -eq "$daemons" ]; then now_ms; everywhere_ms=$((now - begin)); break; fi
  done
  wait "$tool"
  read -r tool_ms tool_rc <"$work/apply.time"
}

# Prints p50/p99/worst (nearest rank) of the numbers in a file.
percentiles() {
  sort -n "$1" | awk 'function rank(q, i) { i = int(NR * q); if (i < NR * q) i++; return v[i < 1 ? 1 : i] }
    { v[NR] = $1 } END { if (NR) printf "%d / %d / %d", rank(0.5), rank(0.99), v[NR]; else printf "not measured" }'
}

# Runs plan changes until their number or the time of the phase is used up. Sets phase_result.
change_plans() {
  local begin k done_changes=0 failed=0
  : >"$work/everywhere"; : >"$work/tool"
  now_ms; begin=$now
  for ((k = 0; k < changes; k++)); do
    now_ms; [ $((now - begin)) -gt $((phase_s * 1000)) ] && break
    version=$((version + 1))
    write_plan $((version % 100 + 1))
    apply_plan "$version"
    done_changes=$((done_changes + 1))
    if [ "$everywhere_ms" -ge 0 ]; then echo "$everywhere_ms" >>"$work/everywhere"; fi
    if [ "$tool_rc" -eq 0 ]; then echo "$tool_ms" >>"$work/tool"; fi
    if [ "$tool_rc" -ne 0 ] || [ "$everywhere_ms" -lt 0 ]; then
      failed=$((failed + 1))
      echo "change $version: tool exit $tool_rc after $tool_ms ms, everywhere $everywhere_ms ms" >&2
      cat "$work/apply.out" >&2
    fi
  done
  phase_result="$done_changes ($failed) | $(percentiles "$work/everywhere") | $(percentiles "$work/tool")"
}

lo_bytes() { awk -F'[: ]+' '$2 == "lo" { print $3 }' /proc/net/dev; }
udp_sent() { awk '$1 == "Udp:" && $5 ~ /^[0-9]+$/ { print $5 }' /proc/net/snmp; }
# Prints the bytes sent so far on established TCP connections, by class of one of their ends: inner protocol,
# store, endpoints. Both directions of a connection count, because both of its ends are listed.
tcp_sent() {
  ss -Htin state established 2>/dev/null | awk -v p="$port" '
    !/bytes_sent/ { n = split($3, l, ":"); m = split($4, r, ":"); a = l[n] - p; b = r[m] - p; class = ""
      if ((a >= 500 && a < 700) || (b >= 500 && b < 700)) class = "inner"
      else if (a == 0 || b == 0) class = "store"
      else if ((a >= 700 && a < 800) || (b >= 700 && b < 800)) class = "endpoints" }
    match($0, /bytes_sent:[0-9]+/) { if (class != "") t[class] += substr($0, RSTART + 11, RLENGTH - 11) }
    END { printf "%d %d %d\n", t["inner"], t["store"], t["endpoints"] }'
}
cpu_ticks() { local p; for p in "${daemon_pids[@]}"; do awk '{ print $14 + $15 }' "/proc/$p/stat"; done; }

# Measures the fleet at rest. Sets rest_result. Counters of lo include other programs: their rate of 5 s before
# the start is printed beside them.
measure_rest() {
  local lo udp store_before store_after begin
  cpu_ticks >"$work/cpu0"; tcp_sent >"$work/tcp"; lo=$(lo_bytes); udp=$(udp_sent)
  store_before=$(curl -s "$store/counters"); now_ms; begin=$now
  sleep "$rest_s"
  cpu_ticks >"$work/cpu1"; lo=$(($(lo_bytes) - lo)); udp=$(($(udp_sent) - udp))
  store_after=$(curl -s "$store/counters")
  tcp_sent >>"$work/tcp"
  now_ms
  local seconds; seconds=$(awk -v ms=$((now - begin)) 'BEGIN { print ms / 1000 }')
  local cpu memory store_rate p
  cpu=$(paste "$work/cpu0" "$work/cpu1" | awk -v s="$seconds" '{ c = ($2 - $1) / s; t += c; if (c > w) w = c }
    END { printf "%.2f / %.2f", t / NR, w }')
  memory=$(for p in "${daemon_pids[@]}"; do awk '/^VmRSS|^RssAnon/ { print $1, $2 }' "/proc/$p/status"; done |
    awk '{ n[$1]++; t[$1] += $2; if ($2 > w[$1]) w[$1] = $2 }
      END { printf "%.1f / %.1f | %.1f / %.1f", t["VmRSS:"] / n["VmRSS:"] / 1024, w["VmRSS:"] / 1024,
            t["RssAnon:"] / n["RssAnon:"] / 1024, w["RssAnon:"] / 1024 }')
  store_rate=$(printf '%s\n%s\n' "$store_before" "$store_after" | tr -d '{}"' |
    awk -F, -v s="$seconds" '{ for (i = 1; i <= NF; i++) { split($i, kv, ":"); if (NR == 1) a[kv[1]] = kv[2]
      else if (kv[2] != a[kv[1]]) printf "%s %.2f ", kv[1], (kv[2] - a[kv[1]]) / s } }')
  local traffic
  traffic=$(awk -v lo="$lo" -v udp="$udp" -v s="$seconds" -v n="$daemons" -v blo="$base_lo" -v budp="$base_udp" '
    NR == 1 { split($0, a) } NR == 2 { split($0, b) }
    END { printf "%.0f (others: %.0f) | %.0f / %.0f / %.0f | %.2f (others: %.2f)", lo / s / n, blo / n,
          (b[1] - a[1]) / s / n, (b[2] - a[2]) / s / n, (b[3] - a[3]) / s / n, udp / s / n, budp / n }' "$work/tcp")
  rest_result="$cpu | $memory | $traffic | $store_rate"
}

# Waits until every daemon shows a load summary of every endpoint, at most SUMMARIES_S. Sets summaries_ms (-1: not).
wait_for_summaries() {
  local text rest
  summaries_ms=-1
  while now_ms; [ $((now - started)) -lt $((summaries_s * 1000)) ]; do
    text=$(curl -s -m 5 "${status_urls[@]}" || true)
    rest=${text//free_kv_bytes/}
    if [ $(((${#text} - ${#rest}) / 13)) -eq $((daemons * endpoint_count)) ]; then
      now_ms; summaries_ms=$((now - started)); return 0
    fi
    sleep 0.5
  done
}

# Sends requests of about 1,000 prompt tokens and $1 output tokens to all daemons in turn, 16 at once, and prints
# the processor time of all daemons for each.
measure_requests() {
  local r prompt begin before after
  prompt=$(printf 'word %.0s' {1..800})
  for ((r = 0; r < requests; r++)); do
    [ "$r" -gt 0 ] && echo next
    printf 'url = "http://127.0.0.1:%d/v1/completions"\nheader = "Authorization: Bearer %s"\n' \
      $((port + 100 + r % daemons)) "$caller_key"
    printf 'header = "Content-Type: application/json"\noutput = "/dev/null"\n'
    printf 'write-out = "%%{http_code}/%%{exitcode}\\n"\n'
    printf 'data = "{\\"model\\":\\"%s\\",\\"stream\\":true,\\"max_tokens\\":%d,\\"prompt\\":\\"%d %d %s\\"}"\n' \
      "$model" "$1" "$1" "$r" "$prompt"
  done >"$work/requests"
  before=$(cpu_ticks | awk '{ t += $1 } END { print t }'); now_ms; begin=$now
  curl -s -Z --no-progress-meter --parallel-max 16 -K "$work/requests" >"$work/codes" 2>/dev/null || true
  now_ms
  after=$(cpu_ticks | awk '{ t += $1 } END { print t }')
  echo "requests with $1 output tokens, $daemons daemons: $requests in $((now - begin)) ms, processor time of" \
    "all daemons $(((after - before) * 10)) ms, answers by HTTP status and exit code of curl:" \
    "$(sort "$work/codes" | uniq -c | tr -s ' \n' ' ')" >&2
}

measure_size() {
  daemons=$1
  endpoint_count=$((daemons / 2 + 1)); [ "$endpoint_count" -gt 20 ] && endpoint_count=20
  [ "$endpoints_wanted" -gt 0 ] && endpoint_count=$endpoints_wanted
  if [ $((daemons + 1 + min_endpoint_processes)) -gt "$max_servers" ]; then
    daemons=$((max_servers - 1 - min_endpoint_processes))
    echo "size $1 reduced to $daemons daemons by the limit on processes" >&2
  fi
  endpoint_processes=$((max_servers - 1 - daemons))
  [ "$endpoint_processes" -gt "$endpoint_count" ] && endpoint_processes=$endpoint_count
  store="http://127.0.0.1:$port"
  write_settings
  "$bin/verbenaridged" --check --config "$work/h0.json" >&2
  local lo udp load_before
  load_before=$(cut -d' ' -f1 /proc/loadavg)
  lo=$(lo_bytes); udp=$(udp_sent); sleep 5
  base_lo=$((($(lo_bytes) - lo) / 5)); base_udp=$((($(udp_sent) - udp) / 5))
  now_ms; local started=$now
  start_fleet
  write_plan 1; version=1
  sleep 3
  apply_plan 1
  echo "size $daemons: first plan: tool exit $tool_rc after $tool_ms ms, everywhere $everywhere_ms ms" >&2
  wait_for_summaries
  echo "size $daemons: summaries of $endpoint_count endpoints everywhere after $summaries_ms ms from the start" >&2
  sleep 5  # lets the gossip of the start die down
  measure_rest
  if [ "$requests" -gt 0 ]; then measure_requests 1; measure_requests 201; fi
  change_plans; local fast=$phase_result
  curl -sf -o /dev/null -X PUT -d '{"delay_ms":100}' "$store/control"
  change_plans; local slow=$phase_result
  echo "| $daemons | $endpoint_count ($endpoint_processes) | $load_before, $(cut -d' ' -f1 /proc/loadavg) | \
$rest_result| $fast | $slow |"
  stop_all
}

echo "| daemons | endpoints (processes) | machine load before, after | CPU % mean / worst | RSS MB mean / worst \
| anonymous MB mean / worst | lo bytes/s per daemon \
| TCP bytes/s per daemon: inner / store / endpoints | datagrams/s per daemon | store calls/s \
| changes (failed) | everywhere ms p50 / p99 / worst | accepted ms p50 / p99 / worst \
| slow store: changes (failed) | everywhere ms | accepted ms |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
port=$first_port
for size in "${@:-5 15 30 60}"; do
  for one in $size; do measure_size "$one"; port=$((port + 1000)); done
done
