#!/usr/bin/env bash
# Checks of the daemon as a process: signals, crashes and pauses, on a small fleet on loopback.
#   tools/process_test.sh [--bin DIR] [--load PROGRAM] [--port-base N]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
FLEET_PORT_BASE=26000
while [ $# -gt 0 ]; do
  case $1 in
    --bin) FLEET_BIN=$2 ;;
    --load) load_program=$2 ;;
    --port-base) FLEET_PORT_BASE=$2 ;;
    *) sed -n 's/^#   //p' "$0" >&2; exit 2 ;;
  esac
  shift 2
done
. tools/fleet.sh
load_program=${load_program:-$FLEET_BIN/verbenaridge_load}

# load NAME DAEMON STREAMS REQUESTS OUTPUT_TOKENS starts a closed loop in the background.
load() {
  start "$1" "$load_program" --target "$(caller_url "$2")" --key "$FLEET_KEY" --model m \
    --streams "$3" --requests "$4" --output-tokens "$5" --prompt-tokens 200 --csv "$FLEET_DIR/$1.csv"
}

# Succeeds if the load ended in 40 s with all of its requests completed and no token wrong.
all_completed() {
  wait_for 40 is_gone "$1" || { detail="load $1 did not end"; return 1; }
  detail="requests, completed, lost, doubled, crossed: $(sum_csv "$FLEET_DIR/$1.csv")"
  [ "${detail#*: }" = "$2 $2 0 0 0" ]
}

serves() {
  curl -s -m 3 -H "Authorization: Bearer $FLEET_KEY" -d \
    '{"model":"m","prompt":"p","max_tokens":2,"stream":true}' "$(caller_url "$1")/v1/completions" |
    grep -q '^data: \[DONE\]'
}

endpoints_idle() {
  local i
  for i in $FLEET_ENDPOINTS; do [ "$(endpoint_load "$i")" = "0 0" ] || return 1; done
}

restart() { start_daemon "$1" && wait_for 15 is_ready "$1"; }

# Guards against a check that stops at the first fault.
check_reports_all_faults() {
  local code
  jq '.data_centre = "nowhere" | .traffic_threads = 0 | .log.level = "loud"
      | .endpoints[0].url = "ftp://x"' "$FLEET_DIR/d0.json" >"$FLEET_DIR/faulty.json"
  detail=$("$FLEET_BIN/verbenaridged" --config "$FLEET_DIR/faulty.json" --check 2>&1)
  code=$?
  [ "$code" -eq 2 ] || { detail="exit code $code: $detail"; return 1; }
  for path in /data_centre /traffic_threads /log/level /endpoints/0/url; do
    grep -q -- "$path" <<<"$detail" || { detail="no fault at $path: $detail"; return 1; }
  done
}

# Guards against a daemon that ends or drains when its terminal closes.
hangup_is_ignored() {
  send HUP d0
  sleep 0.5
  detail="the daemon is gone or not ready"
  ! is_gone d0 && is_ready 0 && serves 0
}

# Guards against streams that are not resumed elsewhere after their engine died.
streams_survive_endpoint_death() {
  local ok=0
  load survive 0 20 60 50
  sleep 1.5
  send KILL m1
  all_completed survive 60 || ok=1
  start_endpoint 1
  return "$ok"
}

# Guards against a drain that closes connections with running answers.
drain_cuts_no_stream() {
  local ok=0
  load drain 1 20 20 120
  sleep 1
  send TERM d1
  all_completed drain 20 || ok=1
  wait_for 10 is_gone d1 || { detail="$detail; still there 10 s after its last stream"; ok=1; }
  restart 1 || { detail="$detail; not ready after the restart"; ok=1; }
  return "$ok"
}

# Guards against a daemon that an operator cannot stop while it drains.
second_term_stops_at_once() {
  local ok=0
  load twice 1 10 10 600
  sleep 1
  send TERM d1
  sleep 0.5
  detail="gone at the first signal, while streams ran"
  ! is_gone d1 || ok=1
  send TERM d1
  wait_for 2 is_gone d1 || { detail="still there 2 s after the second signal"; ok=1; }
  send KILL twice
  restart 1 || { detail="not ready after the restart"; ok=1; }
  return "$ok"
}

# Guards against work of others that stops, and engine memory that stays, when a daemon dies.
daemon_death_is_contained() {
  local ok=0 killed
  load victim 2 15 15 2000
  load others 3 10 20 50
  sleep 1.5
  endpoints_idle && { detail="no stream ran before the kill"; return 1; }
  send KILL d2
  killed=$SECONDS
  all_completed others 20 || ok=1
  wait_for $((killed + 20 - SECONDS)) endpoints_idle || { detail="$detail; memory held after 20 s"; ok=1; }
  detail="$detail; idle after $((SECONDS - killed)) s"
  return "$ok"
}

# Guards against a daemon that stays refused, or refuses, after a pause.
paused_daemon_serves_again() {
  local resumed
  send STOP d3
  sleep 4
  send CONT d3
  resumed=$SECONDS
  detail="no completed request 5 s after SIGCONT: $(curl -s -m 1 "$(operator_url 3)/readyz")"
  wait_for 5 serves 3 || return 1
  detail="after $((SECONDS - resumed)) s"
}

checks=(
  "check_reports_all_faults:--check of a faulty file exits with 2 and names all faults"
  "hangup_is_ignored:SIGHUP is ignored"
  "streams_survive_endpoint_death:SIGKILL of an endpoint: all repeatable streams complete"
  "drain_cuts_no_stream:SIGTERM under load cuts off no stream"
  "second_term_stops_at_once:a second SIGTERM stops at once"
  "paused_daemon_serves_again:SIGSTOP for 4 s: serves again within 5 s of SIGCONT"
  "daemon_death_is_contained:SIGKILL of a daemon: others go on, memory is freed within 20 s"
)

trap stop_fleet EXIT
if ! start_fleet >"$FLEET_DIR/start.log" 2>&1; then
  cat "$FLEET_DIR/start.log"
  echo "the fleet did not start, logs in $FLEET_DIR"
  exit 2
fi
passed=0
failed=0
for row in "${checks[@]}"; do
  detail=
  if "${row%%:*}"; then
    passed=$((passed + 1))
    echo "pass  ${row#*:}"
  else
    failed=$((failed + 1))
    echo "FAIL  ${row#*:} ($detail)"
  fi
done
echo "$passed passed, $failed failed in $SECONDS s (logs in $FLEET_DIR)"
[ "$failed" -eq 0 ]
