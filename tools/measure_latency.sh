#!/usr/bin/env bash
# Measures what the layer adds: the load tool against a fake endpoint directly, through one daemon, and through a
# daemon whose endpoint and account may be owned by a second one. Prints the load tool's summary of each run.
# Usage: measure_latency.sh [BIN_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build/bin}
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }

wait_for() {  # URL
  for _ in $(seq 100); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  exit 1
}

settings() {  # INDEX COUNT
  local peers="" i
  for i in $(seq 0 $(($2 - 1))); do
    [ "$i" = "$1" ] && continue
    peers+="{\"host\": \"h$i\", \"data_centre\": \"dc\", \"inner\": \"127.0.0.1:$((16200 + i))\"}"
  done
  cat <<JSON
{"host": "h$1", "data_centre": "dc",
 "addresses": {"callers": "127.0.0.1:$((16000 + $1))", "operators": "127.0.0.1:$((16100 + $1))",
               "inner": "127.0.0.1:$((16200 + $1))"},
 "fleet_keys": ["latency-fleet-key"], "operator_keys": ["latency-operator-key"],
 "platform": {"key_value_store": "http://127.0.0.1:16300", "host_list": "http://127.0.0.1:16300"},
 "data_centres": [{"id": "dc", "region": "r"}], "peers": [$peers],
 "endpoints": [{"id": "m1", "data_centre": "dc", "url": "http://127.0.0.1:16301", "models": ["m"],
                "kv_capacity_bytes": 40000000000, "kv_bytes_per_token": 1000,
                "prefill_tokens_per_second": 100000000, "decode_step_ms": 20, "max_running": 512}]}
JSON
}

plan() {
  local hash
  hash=$(printf 'latency-key' | sha256sum | cut -d' ' -f1)
  cat <<JSON
{"client_accounts": [{"client_account": "a", "plan": "p", "key_hashes": ["$hash"], "weight": 1,
                      "default_priority": "urgent", "default_deadline_ms": 60000}],
 "plans": [{"id": "p", "models": ["m"], "services": [], "priorities": ["urgent", "standard", "background"], "requests_per_second": 100000,
            "tokens_per_second": 1000000000, "concurrent_cost_seconds": 1000000, "max_prompt_tokens": 1000000}]}
JSON
}

load() {  # TITLE URL STREAMS REQUESTS EXTRA...
  echo "== $1, $3 streams"
  "$bin/verbenaridge_load" --target "$2" --streams "$3" --requests "$4" --model m --prompt-tokens 1000 \
    --output-tokens 16 --key latency-key "${@:5}" 2>/dev/null
}

start "$bin/fake_platform" --port 16300
start "$bin/fake_endpoint" --port 16301 --models m --prefill-rate 100000000 --chunk-tokens 1000000 \
  --decode-step-ms 20 --kv-capacity 40000000000 --kv-bytes-per-token 1000 --max-batch 512
wait_for http://127.0.0.1:16300/counters
wait_for http://127.0.0.1:16301/load
echo "machine load: $(cut -d' ' -f1-3 /proc/loadavg)"
load direct http://127.0.0.1:16301 1 50 --direct yes
load direct http://127.0.0.1:16301 200 2000 --direct yes
for count in 1 2; do
  daemons=()
  for i in $(seq 0 $((count - 1))); do
    settings "$i" "$count" >"$work/settings-$i.json"
    "$bin/verbenaridged" --config "$work/settings-$i.json" >>"$work/log" 2>&1 &
    daemons+=($!)
    pids+=($!)
  done
  if [ "$count" = 1 ]; then
    plan >"$work/plan.json"
    "$bin/verbenaridgectl" apply "$work/plan.json" --store http://127.0.0.1:16300 --data-centres dc \
      --author latency >/dev/null
  fi
  for i in $(seq 0 $((count - 1))); do wait_for "http://127.0.0.1:$((16100 + i))/readyz"; done
  sleep 7  # a new account owner admits less in its first 6 s
  for i in $(seq 0 $((count - 1))); do
    load "daemon $i of $count" "http://127.0.0.1:$((16000 + i))" 1 50
    load "daemon $i of $count" "http://127.0.0.1:$((16000 + i))" 200 2000
  done
  for pid in "${daemons[@]}"; do kill -KILL "$pid" && wait "$pid" 2>/dev/null || true; done
done
