#!/usr/bin/env bash
# Installs packages, builds, and runs a small fleet on loopback: three daemons in three data centres,
# three fake model endpoints, one fake service and a fake platform. Sends prompts of 1,000 to
# 1,000,000 tokens and a few orders, prints the answers, and stops everything that it started.
#
#   tools/demo.sh [--keep] [--skip-build]
#
# --keep leaves the fleet running after success and prints the command that stops it. --skip-build
# uses the programs in build/bin as they are. VERBENARIDGE_BIN names another folder of programs and
# skips the build too. VERBENARIDGE_JOBS is the number of compile jobs (default 8).
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
build=yes
bin=${VERBENARIDGE_BIN:-build/bin}
[ -z "${VERBENARIDGE_BIN:-}" ] || build=no
for argument in "$@"; do
  case $argument in
    --keep) keep=yes ;;
    --skip-build) build=no ;;
    *)
      echo "usage: tools/demo.sh [--keep] [--skip-build]" >&2
      exit 2
      ;;
  esac
done

data_centres=(furano nakafurano biei)
platform=http://127.0.0.1:18300
token_counts=(1000 10000 100000 1000000)
work=$(mktemp -d)
pids=()

# SIGTERM drains the daemons, which takes about 5 s. What is left after 15 s is killed.
cleanup() {
  local status=$? pid waited
  trap - EXIT
  if [ "$status" -ne 0 ]; then
    echo "The demo failed (status $status). Last log lines:" >&2
    tail -n 5 "$work"/*.log >&2 || true
  elif [ "$keep" = yes ]; then
    echo "The fleet keeps running; its files are in $work. Stop it with:"
    echo "  kill ${pids[*]}; rm -r $work"
    exit 0
  fi
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  for pid in "${pids[@]}"; do
    for ((waited = 0; waited < 75; ++waited)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.2
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND...
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

# wait_for DESCRIPTION COMMAND...: repeats the command until it succeeds, for at most 30 s.
wait_for() {
  local description=$1 tries pid
  shift
  for ((tries = 0; tries < 150; ++tries)); do
    ! "$@" >/dev/null 2>&1 || return 0
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null || { echo "process $pid ended early" >&2; return 1; }
    done
    sleep 0.2
  done
  echo "no success after 30 s: $description" >&2
  return 1
}

# The addresses of a running fleet would otherwise answer in place of this one.
require_free_ports() {
  local port
  for port in 1808{0,1,2} 1818{0,1,2} 1828{0,1,2} 1830{0,1,2,3,4}; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "port $port on 127.0.0.1 is in use; is another demo running?" >&2
      return 1
    fi
  done
}

model_endpoint() {  # INDEX
  cat <<JSON
    {"id": "engine-$1", "data_centre": "${data_centres[$1]}", "url": "http://127.0.0.1:$((18301 + $1))",
     "kind": "model", "models": ["demo"], "kv_capacity_bytes": 4000000000, "kv_bytes_per_token": 1000,
     "prefill_tokens_per_second": 200000, "decode_step_ms": 20, "max_running": 64, "checks_fencing": true}
JSON
}

write_settings() {  # INDEX
  local i peers=""
  for i in 0 1 2; do
    [ "$i" = "$1" ] && continue
    peers+="${peers:+, }{\"host\": \"${data_centres[$i]}-1\", \"data_centre\": \"${data_centres[$i]}\","
    peers+=" \"inner\": \"127.0.0.1:1828$i\"}"
  done
  cat >"$work/settings-$1.json" <<JSON
{
  "host": "${data_centres[$1]}-1",
  "data_centre": "${data_centres[$1]}",
  "addresses": {"callers": "127.0.0.1:1808$1", "operators": "127.0.0.1:1818$1", "inner": "127.0.0.1:1828$1"},
  "fleet_keys": ["demo-fleet-key-for-loopback"],
  "operator_keys": ["demo-operator-key"],
  "platform": {"key_value_store": "$platform", "host_list": "$platform"},
  "data_centres": [
    {"id": "furano", "region": "hokkaido"},
    {"id": "nakafurano", "region": "hokkaido"},
    {"id": "biei", "region": "hokkaido"}
  ],
  "peers": [$peers],
  "services": [
    {"id": "orders", "operations": [{"name": "place", "repeatable": false}, {"name": "stock", "repeatable": true}]}
  ],
  "endpoints": [
$(model_endpoint 0),
$(model_endpoint 1),
$(model_endpoint 2),
    {"id": "orders-1", "data_centre": "furano", "url": "http://127.0.0.1:18304", "kind": "service",
     "service": "orders"}
  ],
  "limits": {"body_bytes": 8388608}
}
JSON
}

write_plan() {
  local hash
  hash=$(printf %s demo-key | sha256sum | cut -d' ' -f1)
  cat >"$work/plans.json" <<JSON
{
  "client_accounts": [
    {"client_account": "demo", "plan": "demo", "key_hashes": ["$hash"], "weight": 1,
     "default_priority": "standard", "default_deadline_ms": 60000}
  ],
  "plans": [
    {"id": "demo", "models": ["demo"], "services": [{"service": "orders", "operations": ["place", "stock"]}],
     "priorities": ["urgent", "standard", "background"], "requests_per_second": 1000,
     "tokens_per_second": 10000000, "concurrent_cost_seconds": 100000, "max_prompt_tokens": 1200000}
  ]
}
JSON
  echo '{"models": ["demo"], "services": {"orders": ["place", "stock"]}}' >"$work/catalogue.json"
  printf %s demo-operator-key >"$work/operator.key"
}

hosts_json() {
  local i list=""
  for i in 0 1 2; do
    list+="${list:+, }{\"host\": \"${data_centres[$i]}-1\", \"data_centre\": \"${data_centres[$i]}\","
    list+=" \"ip\": \"127.0.0.1\", \"port\": 1828$i, \"state\": \"live\"}"
  done
  echo "{\"hosts\": [$list]}"
}

start_fleet() {
  local i
  require_free_ports
  start platform "$bin/fake_platform" --port 18300
  wait_for "the fake platform answers" curl -fsS -m 2 "$platform/hosts"
  curl -fsS -m 2 -X PUT -d "$(hosts_json)" "$platform/set-hosts" >/dev/null
  # 4 GB at 1,000 bytes a token hold four prompts of a million tokens.
  for i in 0 1 2; do
    start "engine-$i" "$bin/fake_endpoint" --port $((18301 + i)) --models demo --prefill-rate 200000 \
      --chunk-tokens 4096 --decode-step-ms 20 --kv-bytes-per-token 1000 --kv-capacity 4000000000
  done
  start service "$bin/fake_endpoint" --port 18304 --models none
  for i in 0 1 2; do
    write_settings "$i"
    "$bin/verbenaridged" --config "$work/settings-$i.json" --check >/dev/null
    start "daemon-$i" "$bin/verbenaridged" --config "$work/settings-$i.json"
  done
  for i in 0 1 2; do
    wait_for "daemon $i is healthy" curl -fsS -m 2 "http://127.0.0.1:1818$i/healthz"
  done
}

# A daemon knows an endpoint's load once the owner's first summary arrived.
sees_all() {  # INDEX
  local status
  status=$(curl -fsS -m 2 "http://127.0.0.1:1818$1/status")
  [ "$(grep -o '"free_kv_bytes"' <<<"$status" | wc -l)" -eq 3 ]
}

apply_plan() {
  local i
  write_plan
  "$bin/verbenaridgectl" apply "$work/plans.json" --store "$platform" --author demo --wait 30 \
    --data-centres furano,nakafurano,biei --catalogue "$work/catalogue.json"
  for i in 0 1 2; do
    wait_for "daemon $i is ready" curl -fsS -m 2 "http://127.0.0.1:1818$i/readyz"
    wait_for "daemon $i knows the endpoints" sees_all "$i"
  done
}

# Four bytes a token. The number in front keeps the prompts from sharing a cached prefix.
write_prompt() {  # TOKENS FILE
  local text="Lot record of $1 tokens. "
  {
    printf '{"model": "demo", "max_tokens": 24, "stream": true, "prompt": "%s' "$text"
    head -c $(($1 * 4 - ${#text})) < <(yes 'lot 4711: 40 lavender sachets, shelf 12; ' | tr -d '\n')
    printf '"}'
  } >"$2"
}

# Prints the beginning of the stream, and adds a line of times to the summary. The time of the first
# event is taken here, since curl's time_starttransfer is not it when the request body is large.
send_prompt() {  # TOKENS DAEMON
  local sent last="" event first_at=0 count=0 status
  write_prompt "$1" "$work/prompt.json"
  echo
  echo "== $1 tokens to daemon $2 at 127.0.0.1:1808$2"
  sent=${EPOCHREALTIME/[.,]/}
  : >"$work/status"
  while IFS= read -r event || [ -n "$event" ]; do
    [ -n "$event" ] || continue
    [ "$count" -gt 0 ] || first_at=${EPOCHREALTIME/[.,]/}
    count=$((count + 1))
    [ "$count" -gt 2 ] || echo "$event"
    last=${event%%$'\r'}
  done < <(curl -sS -N -m 300 -w '%{stderr}%{http_code}\n' \
    -H 'Authorization: Bearer demo-key' -H 'Content-Type: application/json' -H 'Expect:' \
    --data-binary "@$work/prompt.json" "http://127.0.0.1:1808$2/v1/completions" 2>"$work/status")
  status=$(tail -n 1 "$work/status")
  echo "... $count events, the last one: $last"
  printf '%9d  %s  %6d ms  %6d ms\n' "$1" "${status:-none}" \
    $((first_at > 0 ? (first_at - sent) / 1000 : 0)) $(((${EPOCHREALTIME/[.,]/} - sent) / 1000)) >>"$work/summary"
  [ "$last" = 'data: [DONE]' ]
}

send_prompts() {
  local tokens index=0 failed=0
  for tokens in "${token_counts[@]}"; do
    send_prompt "$tokens" $((index % 3)) || failed=1
    index=$((index + 1))
  done
  echo
  echo "== tokens, HTTP status, time to the first event, time to the end"
  cat "$work/summary"
  [ "$failed" = 0 ] || echo "at least one stream did not end with [DONE]" >&2
  return "$failed"
}

order() {  # DAEMON EXPIRES
  echo "through daemon $1:"
  curl -sS -m 10 -i -H 'Authorization: Bearer demo-key' -H 'Idempotency-Key: demo-order-1' \
    -H "Idempotency-Expires: $2" -d '{"item": "sachet", "count": 3}' \
    "http://127.0.0.1:1808$1/v1/services/orders/place" | tr -d '\r' | grep -iE '^(HTTP|X-Outcome|X-Replayed|\{)'
  echo
}

order_is_recorded() {
  curl -fsS -m 2 -H 'Authorization: Bearer demo-key' http://127.0.0.1:18080/v1/services/orders/place/demo-order-1
}

# The result is recorded within about a second after the answer. Until then a repeat answers that the
# call is running; then it is answered from the record.
send_orders() {
  local expires=$(($(date +%s) + 300))
  echo
  echo "== one order, sent twice with one idempotency key through two daemons; it runs once"
  order 0 "$expires"
  wait_for "the order's result is recorded" order_is_recorded
  order 1 "$expires"
}

say_next() {
  cat <<'TEXT'

== what to try next
  tools/demo.sh --keep          leaves the fleet running; then
  curl -s http://127.0.0.1:18180/status
  curl -s http://127.0.0.1:18180/metrics
  docs/interface.md             requests to paste
  docs/OPERATIONS.md            settings, drain, plans, logs and metrics
  tools/test.sh                 all tests
TEXT
}

if [ "$build" = yes ]; then
  tools/install_packages.sh
  cmake -G Ninja -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
  ninja -C build -j "${VERBENARIDGE_JOBS:-8}" verbenaridged verbenaridgectl fake_platform fake_endpoint
fi
start_fleet
apply_plan
send_prompts
send_orders
say_next
