# Functions that run a small fleet of real processes on loopback; sourced by soak.sh and
# process_test.sh. The caller may set FLEET_BIN (folder of the programs), FLEET_PORT_BASE and
# FLEET_ENDPOINT_OPTIONS before it sources this file.

FLEET_BIN=${FLEET_BIN:-build/bin}
FLEET_PORT_BASE=${FLEET_PORT_BASE:-25000}
FLEET_ENDPOINT_OPTIONS=${FLEET_ENDPOINT_OPTIONS:-}
FLEET_DIR=$(mktemp -d)
FLEET_DAEMONS="0 1 2 3"
FLEET_ENDPOINTS="0 1 2 3"
FLEET_CENTRES=(furano nakafurano biei furano)  # by daemon and by endpoint
FLEET_KEY=soak-key
declare -A FLEET_PIDS  # process id by name: platform, d0 to d3, m0 to m3, s0

port() { echo $((FLEET_PORT_BASE + $1)); }
platform_url() { echo "http://127.0.0.1:$(port 0)"; }
caller_url() { echo "http://127.0.0.1:$(port $((10 + $1)))"; }
operator_url() { echo "http://127.0.0.1:$(port $((20 + $1)))"; }
endpoint_url() { echo "http://127.0.0.1:$(port $((40 + $1)))"; }
service_url() { echo "http://127.0.0.1:$(port 50)"; }
now() { date +%s.%3N; }

# start NAME COMMAND... runs a program in the background and appends its output to NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$FLEET_DIR/$name.log" 2>&1 &
  FLEET_PIDS[$name]=$!
  disown $!  # keeps the shell from printing that it was killed
}

# send SIGNAL NAME
send() { kill "-$1" "${FLEET_PIDS[$2]}" 2>/dev/null; }

# wait_for SECONDS COMMAND... repeats a command until it succeeds; fails after the time.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# A killed child of this shell stays a zombie until the shell reaps it, so its state is read too.
is_gone() { ! grep -q '^State:[[:space:]]*[^ZX[:space:]]' "/proc/${FLEET_PIDS[$1]}/status" 2>/dev/null; }
is_ready() { curl -sf -m 2 -o /dev/null "$(operator_url "$1")/readyz"; }
answers() { curl -sf -m 2 -o /dev/null "$1"; }

write_settings() {
  local i=$1
  jq -n --argjson base "$FLEET_PORT_BASE" --argjson i "$i" \
    --argjson centres "$(printf '%s\n' "${FLEET_CENTRES[@]}" | jq -R . | jq -s .)" '
    def address(p): "127.0.0.1:\($base + p)";
    {host: "h\($i)", data_centre: $centres[$i],
     addresses: {callers: address(10 + $i), operators: address(20 + $i), inner: address(30 + $i)},
     traffic_threads: 2, fleet_keys: ["fleet-key-for-tests-only"],
     operator_keys: ["operator-key-for-tests-only"],
     platform: {key_value_store: "http://\(address(0))", host_list: "http://\(address(0))"},
     data_centres: ($centres | unique | map({id: ., region: "r"})),
     peers: [range(4) | select(. != $i) |
             {host: "h\(.)", data_centre: $centres[.], inner: address(30 + .)}],
     services: [{id: "orders", operations: [{name: "place", repeatable: false},
                                             {name: "look", repeatable: true}]}],
     endpoints: ([range(4) | {id: "m\(.)", data_centre: $centres[.], url: "http://\(address(40 + .))",
        kind: "model", models: ["m"], kv_capacity_bytes: 40000000000, kv_bytes_per_token: 100000,
        prefill_tokens_per_second: 8000, decode_step_ms: 20, max_running: 48,
        checks_fencing: true}] +
       [{id: "s0", data_centre: $centres[0], url: "http://\(address(50))", kind: "service",
         service: "orders", max_running: 64}]),
     policy: {routing: "owner_permits_affinity", preset: "short_first"},
     limits: {body_bytes: 8388608, default_deadline_ms: 60000, max_deadline_ms: 600000},
     log: {level: "info"}}' >"$FLEET_DIR/d$i.json"
}

write_plan() {
  jq -n --arg hash "$(printf %s "$FLEET_KEY" | sha256sum | cut -d' ' -f1)" '
    {client_accounts: [{client_account: "a", plan: "p", key_hashes: [$hash], weight: 1,
       default_priority: "standard", default_deadline_ms: 60000}],
     plans: [{id: "p", models: ["m"], services: [{service: "orders", operations: ["place", "look"]}],
       priorities: ["urgent", "standard", "background"], requests_per_second: 1000,
       tokens_per_second: 10000000, concurrent_cost_seconds: 10000, max_prompt_tokens: 100000}]
    }' >"$FLEET_DIR/plan.json"
}

start_daemon() { start "d$1" "$FLEET_BIN/verbenaridged" --config "$FLEET_DIR/d$1.json"; }

start_endpoint() {
  # shellcheck disable=SC2086  # the options are words
  start "m$1" "$FLEET_BIN/fake_endpoint" --port "$(port $((40 + $1)))" --models m \
    --prefill-rate 8000 --decode-step-ms 20 --max-batch 48 --kv-bytes-per-token 100000 \
    --kv-capacity 40000000000 $FLEET_ENDPOINT_OPTIONS
}

start_fleet() {
  local i
  start platform "$FLEET_BIN/fake_platform" --port "$(port 0)"
  for i in $FLEET_ENDPOINTS; do start_endpoint "$i"; done
  start s0 "$FLEET_BIN/fake_endpoint" --port "$(port 50)" --service-delay-ms 30
  wait_for 5 answers "$(platform_url)/counters" || return 1
  for i in $FLEET_DAEMONS; do
    jq -n --arg h "h$i" --arg c "${FLEET_CENTRES[$i]}" --argjson p "$(port $((30 + i)))" \
      '{host: $h, data_centre: $c, ip: "127.0.0.1", port: $p, state: "live"}'
  done | jq -s '{hosts: .}' | curl -sf -X PUT -d @- "$(platform_url)/set-hosts" || return 1
  printf %s operator-key-for-tests-only >"$FLEET_DIR/operator.key"
  write_plan
  for i in $FLEET_DAEMONS; do write_settings "$i"; start_daemon "$i"; done
  "$FLEET_BIN/verbenaridgectl" apply "$FLEET_DIR/plan.json" --store "$(platform_url)" \
    --author soak --data-centres furano,nakafurano,biei --wait 20 || return 1
  for i in $FLEET_DAEMONS; do wait_for 15 is_ready "$i" || return 1; done
}

# Ends the processes of the fleet, also stopped ones.
stop_fleet() {
  local name
  for name in "${!FLEET_PIDS[@]}"; do
    is_gone "$name" || { send KILL "$name"; send CONT "$name"; }
  done
}

# Prints "STREAMS KV_BYTES" of an endpoint, without the prefix cache, which the engine keeps on purpose:
# its size follows from the cache events (blocks of 1,024 bytes, 256 tokens).
endpoint_load() {
  local blocks
  blocks=$(curl -s -m 3 "$(endpoint_url "$1")/cache/events?after=0" |
    jq -r '[.events[] | if .added then 1 else -1 end] | add // 0')
  curl -s -m 3 "$(endpoint_url "$1")/load" | jq -r --argjson blocks "${blocks:-0}" \
    '"\(.streams | length) \(.kv_used_bytes - $blocks * 256 * .kv_bytes_per_token)"'
}

rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/${FLEET_PIDS[$1]}/status" 2>/dev/null; }

# sum_csv FILE... prints "requests completed lost doubled crossed" of load results.
sum_csv() {
  awk -F, 'FNR > 1 {n++; if ($9 == "completed") c++; l += $13; d += $14; x += $15}
           END {print n + 0, c + 0, l + 0, d + 0, x + 0}' "$@"
}
