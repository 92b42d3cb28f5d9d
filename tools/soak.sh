#!/usr/bin/env bash
# Runs four daemons in three data centres under load and injects faults in a seeded order, then
# prints a tally and exits with 1 if an invariant is broken.
#   tools/soak.sh [--seconds N] [--seed N] [--bin DIR] [--load PROGRAM] [--port-base N] [--out DIR]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2

seconds=600
seed=1
out=
usage() { sed -n 's/^#   //p' "$0" >&2; exit 2; }
while [ $# -gt 0 ]; do
  [ $# -ge 2 ] || usage
  case $1 in
    --seconds) seconds=$2 ;;
    --seed) seed=$2 ;;
    --bin) FLEET_BIN=$2 ;;
    --load) load_program=$2 ;;
    --port-base) FLEET_PORT_BASE=$2 ;;
    --out) out=$2 ;;
    *) usage ;;
  esac
  shift 2
done
. tools/fleet.sh
load_program=${load_program:-$FLEET_BIN/verbenaridge_load}
if [ -n "$out" ]; then
  mkdir -p "$out"
  rmdir "$FLEET_DIR"
  FLEET_DIR=$(cd "$out" && pwd)
fi
RANDOM=$seed
readonly REQUESTS_PER_SECOND=4     # to each daemon
readonly ORDER_WORKERS=4
readonly DEADLINE_MS=60000
readonly ORDER_DEADLINE_MS=15000    # below the 25 s after which the caller gives up
readonly ORDER_TRIES=6
readonly FREED_AFTER_S=25          # orphans are freed within 20 s; the rest is the report's lag

broken=0
break_invariant() { echo "BROKEN: $*"; broken=$((broken + 1)); }

# ---- load ----------------------------------------------------------------------------------------

# One row in 200 is a long prompt; the others have 200 to 1,500 tokens, which is about half of the
# capacity of the endpoints.
write_trace() {
  awk -v seed="$((seed * 10 + $1))" -v seconds="$seconds" -v rate="$REQUESTS_PER_SECOND" \
    -v deadline="$DEADLINE_MS" 'BEGIN {
      srand(seed); split("urgent standard background", names, " ")
      for (i = 0; i < seconds * rate; i++) {
        prompt = rand() < 0.005 ? 20000 : 200 + int(rand() * 1300)
        printf "{\"time\":%.3f,\"client_account\":\"a\",\"priority\":\"%s\",\"prompt_tokens\":%d," \
               "\"output_tokens\":%d,\"operation\":\"complete\",\"target\":\"m\",\"deadline_ms\":%d}\n",
               i / rate, names[1 + int(rand() * 3)], prompt, 20 + int(rand() * 120), deadline
      }}' >"$FLEET_DIR/trace$1.json"
}

start_load() {
  write_trace "$1"
  now >"$FLEET_DIR/load$1.start"
  start "load$1" "$load_program" --target "$(caller_url "$1")" --key "$FLEET_KEY" \
    --trace "$FLEET_DIR/trace$1.json" --csv "$FLEET_DIR/load$1.csv"
}

# ---- orders --------------------------------------------------------------------------------------

# place KEY EXPIRY TRY DAEMON logs "time key try daemon curl_code status outcome execution".
place() {
  local body="$FLEET_DIR/reply.$BASHPID" status code started outcome
  started=$(now)
  : >"$body"
  status=$(curl -s -m 25 -o "$body" -w '%{http_code}' -X POST -H "Authorization: Bearer $FLEET_KEY" \
    -H "Idempotency-Key: $1" -H "X-Deadline-Ms: $ORDER_DEADLINE_MS" -H "Idempotency-Expires: $2" -H 'Content-Type: application/json' \
    -d "{\"order\":\"$1\"}" "$(caller_url "$4")/v1/services/orders/place")
  code=$?
  if [ "$code" -ne 0 ]; then
    outcome=broken
  elif [ "$status" = 200 ]; then
    outcome="ran $(jq -r '.execution // "none"' "$body")"
  else
    outcome=$(jq -r '"\(.outcome // "no_problem") \(.title)"' "$body" 2>/dev/null || echo no_problem)
  fi
  echo "$started $1 $3 $4 $code $status $outcome" >>"$FLEET_DIR/orders.$5.log"
  last_outcome=${outcome%% *}
}

# Repeats after `unknown` and broken connections at other daemons. Of the keys told not_run, half
# are given up, which shows whether the answer is true; one completed key in four is repeated.
order_worker() {
  local worker=$1 n=0 try daemon key expiry end
  RANDOM=$((seed * 100 + worker))
  end=$(($(date +%s) + seconds))
  while [ "$(date +%s)" -lt "$end" ]; do
    n=$((n + 1))
    key="soak-$worker-$n"
    expiry=$(($(date +%s) + 300))
    daemon=$((RANDOM % 4))
    for ((try = 1; try <= ORDER_TRIES; try++)); do
      place "$key" "$expiry" "$try" "$daemon" "$worker"
      daemon=$(((daemon + 1 + RANDOM % 3) % 4))
      case $last_outcome in
        ran) [ $((RANDOM % 4)) -eq 0 ] || break ;;
        not_run) [ $((RANDOM % 2)) -eq 0 ] || break; sleep 0.5 ;;
        *) sleep 0.5 ;;
      esac
    done
    sleep 0.1
  done
}

# ---- faults --------------------------------------------------------------------------------------

# Logs the time in which a part was not reachable: "part kind start end".
log_fault() { echo "$1 $2 $3 $(now)" >>"$FLEET_DIR/faults.log"; }

control() { curl -sf -m 3 -X PUT -d "$1" "$(platform_url)/control" >/dev/null; }

restart_daemon() {
  start_daemon "$1"
  wait_for 20 is_ready "$1" || break_invariant "daemon $1 is not ready 20 s after its restart"
}

inject() {
  local kind=$1 i=$((RANDOM % 4)) pause=$((3 + RANDOM % 3)) part started
  started=$(now)
  part=d$i
  case $kind in
    kill_endpoint)
      part=m$i
      send KILL "m$i"
      sleep 1
      start_endpoint "$i" ;;
    kill_daemon)
      send KILL "d$i"
      sleep 1
      restart_daemon "$i" ;;
    pause_daemon | pause_endpoint)
      [ "$kind" = pause_daemon ] || part=m$i
      send STOP "$part"
      sleep "$pause"
      send CONT "$part" ;;
    drain_daemon)
      send TERM "d$i"
      wait_for 70 is_gone "d$i" || break_invariant "daemon $i did not stop 70 s after SIGTERM"
      echo "drained d$i in $(awk -v a="$started" -v b="$(now)" 'BEGIN {print b - a}') s"
      restart_daemon "$i" ;;
    store_refuse) part=store; control '{"outage":"refuse"}'; sleep "$pause"; control '{"outage":"none"}' ;;
    store_silent) part=store; control '{"outage":"silent"}'; sleep "$pause"; control '{"outage":"none"}' ;;
    store_slow) part=store; control '{"delay_ms":300}'; sleep "$pause"; control '{"delay_ms":0}' ;;
    store_lost_replies) part=store; control '{"lose_replies":5}'; sleep 2; control '{"lose_replies":0}' ;;
    drain_endpoint)
      part=m$i
      "$FLEET_BIN/verbenaridgectl" drain "m$i" --kind endpoint --daemon "$(operator_url 0)" \
        --key-file "$FLEET_DIR/operator.key" >/dev/null
      sleep 4
      "$FLEET_BIN/verbenaridgectl" drain "m$i" --kind endpoint --undo --daemon "$(operator_url 0)" \
        --key-file "$FLEET_DIR/operator.key" >/dev/null ;;
  esac
  log_fault "$part" "$kind" "$started"
}

# Each round has every kind once, in an order drawn from the seed.
inject_until() {
  local kinds=(kill_endpoint kill_daemon pause_daemon pause_endpoint drain_daemon store_refuse
    store_silent store_slow store_lost_replies drain_endpoint) i j held
  while :; do
    for ((i = ${#kinds[@]} - 1; i > 0; i--)); do
      j=$((RANDOM % (i + 1)))
      held=${kinds[i]}
      kinds[i]=${kinds[j]}
      kinds[j]=$held
    done
    for i in "${kinds[@]}"; do
      [ "$(date +%s)" -lt "$1" ] || return
      inject "$i"
      sleep $((1 + RANDOM % 3))
    done
  done
}

# ---- tally ---------------------------------------------------------------------------------------

# Classifies each request of daemon $1: a transport error or a stream without [DONE] is "apart" if
# the daemon was killed or paused meanwhile, or if a draining daemon had not answered the request
# that came after SIGTERM; otherwise it ended without an honest end.
classify() {
  touch "$FLEET_DIR/faults.log"
  awk -v part="d$1" -v base="$(cat "$FLEET_DIR/load$1.start")" '
    FNR == NR { if ($1 == part) { kind[++n] = $2; from[n] = $3 - base; to[n] = $4 - base }; next }
    FNR == 1 { next }
    { split($0, f, ","); end = f[1] + f[11] / 1000; out = f[9]
      if (out !~ /^transport/ && out !~ /without/) { print "end", out; next }
      verdict = "NO_END"
      for (i = 1; i <= n; i++) {
        if (end < from[i] - 0.2 || f[1] > to[i] + 2) continue
        if (kind[i] != "drain_daemon" || (f[8] == 0 && end >= from[i] && f[1] >= from[i] - 0.1)) {
          verdict = "apart"
        }
      }
      print verdict, out; if (verdict == "NO_END") print part, $0 >"/dev/stderr" }' \
    "$FLEET_DIR/faults.log" "$FLEET_DIR/load$1.csv" 2>>"$FLEET_DIR/no_end.log"
}

tally_completions() {
  local n done_ lost doubled crossed no_end
  echo "== completions (end: completed or a problem; apart: the daemon was killed, paused or stopping)"
  for i in $FLEET_DAEMONS; do classify "$i"; done | sort | uniq -c >"$FLEET_DIR/ends"
  cat "$FLEET_DIR/ends"
  read -r n done_ lost doubled crossed < <(sum_csv "$FLEET_DIR"/load?.csv)
  echo "requests $n, completed $done_; tokens lost $lost, doubled $doubled, crossed $crossed"
  no_end=$(awk '$2 == "NO_END" {n += $1} END {print n + 0}' "$FLEET_DIR/ends")
  [ "$no_end" -eq 0 ] || break_invariant "$no_end completions without an honest end (no_end.log)"
  [ $((lost + doubled + crossed)) -eq 0 ] || break_invariant "tokens lost, doubled or crossed"
  [ "$done_" -gt 0 ] || break_invariant "no request completed"
}

# Prints "sum|bad text" lines about the order keys.
judge_orders() {
  jq -r 'to_entries[] | "\(.key | sub("^place/"; "")) \(.value)"' "$FLEET_DIR/executions.json" |
    awk 'FNR == NR { runs[$1] = $2; if ($2 > 1) print "bad", $1, "executed", $2, "times"; next }
      { key = $2; keys[key]; tries++; if ($7 == "not_run") refused[key]++; else other[key]++
        replies[$7]++
        if ($7 == "ran") ran[key] = 1
        if ($7 == "ran" && $8 != 1) print "bad", key, "answered with execution", $8
        if ($7 == "no_problem") print "bad", key, "status", $6, "without a problem document" }
      END {
        for (key in keys) {
          n++; executed += runs[key]
          if (refused[key] && !other[key] && runs[key]) print "bad", key, "told not_run, but ran"
          if (ran[key] && !runs[key]) print "bad", key, "answered, but did not run"
          if (!ran[key] && runs[key]) unknown++
        }
        print "sum", n + 0, "keys,", tries + 0, "calls,", executed + 0, "executions,", unknown + 0,
              "executed keys whose caller never got the answer"
        for (reply in replies) print "sum  replies", reply, replies[reply] }' - <(cat "$FLEET_DIR"/orders.?.log)
}

# Names order calls with no answer that no kill, pause or drain of their daemon explains. A pause is
# shorter than the time between an order's deadline and the end of the wait (curl code 28).
unexplained_orders() {
  touch "$FLEET_DIR/faults.log"
  awk 'FNR == NR { n++; part[n] = $1; from[n] = $3; to[n] = $4; next }
    $7 == "broken" { apart = 0; end = $1 + 20
      for (i = 1; i <= n; i++) {
        if ($5 != 28 && part[i] == "d" $4 && from[i] <= end && $1 <= to[i] + 2) apart = 1
      }
      if (!apart) print "bad", $0, "no answer" }' "$FLEET_DIR/faults.log" <(cat "$FLEET_DIR"/orders.?.log)
}

tally_orders() {
  local bad
  echo "== orders"
  curl -s -m 5 "$(service_url)/executions" >"$FLEET_DIR/executions.json"
  { judge_orders; unexplained_orders; } >"$FLEET_DIR/judged"
  sed -n 's/^sum //p' "$FLEET_DIR/judged"
  bad=$(grep -c '^bad' "$FLEET_DIR/judged")
  sed -n 's/^bad/  bad:/p' "$FLEET_DIR/judged" | head -20
  [ "$bad" -eq 0 ] || break_invariant "$bad lines about orders"
}

tally_left_over() {
  local i streams bytes
  echo "== left at the endpoints $FREED_AFTER_S s after the load"
  for i in $FLEET_ENDPOINTS; do
    read -r streams bytes < <(endpoint_load "$i")
    echo "m$i: ${streams:-?} streams, ${bytes:-?} bytes of KV memory"
    [ "${streams:-1} ${bytes:-1}" = "0 0" ] || break_invariant "m$i holds streams or memory"
  done
}

tally_memory() {
  echo "== memory of the daemons, KiB (start, end; restarts in the log of faults)"
  for i in $FLEET_DAEMONS; do echo "d$i: ${rss_start[$i]} $(rss_kb "d$i")"; done
}

tally_faults() {
  echo "== faults"
  awk '{n[$2]++} END {for (kind in n) print "  " n[kind], kind}' "$FLEET_DIR/faults.log" | sort -k2
}

# ---- run -----------------------------------------------------------------------------------------

workers=()
trap 'for pid in "${workers[@]}"; do kill "$pid" 2>/dev/null; done; stop_fleet' EXIT
echo "soak: --seconds $seconds --seed $seed, logs in $FLEET_DIR"
start_fleet || { echo "the fleet did not start"; exit 2; }
declare -A rss_start
for i in $FLEET_DAEMONS; do
  rss_start[$i]=$(rss_kb "d$i")
  start_load "$i"
done
for i in $(seq 1 "$ORDER_WORKERS"); do
  order_worker "$i" &
  workers+=($!)
done
inject_until $(($(date +%s) + seconds - 3))
wait "${workers[@]}"
workers=()
for i in $FLEET_DAEMONS; do
  wait_for 320 is_gone "load$i" || break_invariant "load $i did not end"
done
sleep "$FREED_AFTER_S"
tally_faults
tally_completions
tally_orders
tally_left_over
tally_memory
if [ "$broken" -gt 0 ]; then echo "FAILED: $broken invariants broken"; exit 1; fi
echo "PASSED"
