# Functions that start the stand-ins and a fleet of routers as plain processes
# on the loopback interface. Sourced by bergamothook.sh; expects $root, $build.

run_dir=$root/Run
domains=("Pretoria East" "Pretoria West" "Centurion")
engine_count=6
runner_count=3
port_base=${BERGAMOTHOOK_PORT_BASE:-21000}
log_port=$((port_base + 1))
membership_port=$((port_base + 2))
history_port=$((port_base + 3))
pids=()

engine_port() { echo $((port_base + 100 + $1)); }
runner_port() { echo $((port_base + 200 + $1)); }
caller_port() { echo $((port_base + 300 + $1)); }
operator_port() { echo $((port_base + 400 + $1)); }
peer_port() { echo $((port_base + 500 + $1)); }

listen() { printf '"listen": {"address": "127.0.0.1", "port": %s}' "$1"; }

# Starts a program in the background. The first word names its log file.
start_process() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$run_dir/$name.pid"
}

start_standin() {
  local name=$1 role=$2 settings=$3
  printf '%s\n' "$settings" >"$run_dir/$name.json"
  start_process "$name" "$build/bin/bergamothook-standin" --role "$role" --config "$run_dir/$name.json"
}

member() {
  printf '{"name": "%s", "role": "%s", "failure_domain": "%s", "address": "127.0.0.1", "port": %s, "serves": %s}' "$@"
}

models_of() {
  if [ $(($1 % 3)) -eq 0 ]; then echo '["dossier-large"]'; else echo '["guide-small"]'; fi
}

write_members() {
  local lines=() i
  for ((i = 1; i <= engine_count; i++)); do
    lines+=("$(member "engine-$i" engine "${domains[$((i % 3))]}" "$(engine_port $i)" "$(models_of $i)")")
  done
  for ((i = 1; i <= runner_count; i++)); do
    lines+=("$(member "runner-$i" order_runner "${domains[$((i % 3))]}" "$(runner_port $i)" '["orders"]')")
  done
  lines+=("$(member history-1 service "${domains[0]}" "$history_port" '["history"]')")
  for ((i = 1; i <= host_count; i++)); do
    lines+=("$(member "host-$i" entry_host "${domains[$((i % 3))]}" "$(peer_port $i)" '[]')")
  done
  local IFS=,
  echo "[${lines[*]}]"
}

start_platform() {
  local i
  start_standin log log "{$(listen $log_port)}"
  start_standin membership membership "{$(listen $membership_port), \"members\": $(write_members)}"
  start_standin history-1 service "{$(listen $history_port)}"
  for ((i = 1; i <= engine_count; i++)); do
    start_standin "engine-$i" engine "{$(listen "$(engine_port $i)"), \"engine\": {\"name\": \"engine-$i\", \"models\": $(models_of $i)}}"
  done
  for ((i = 1; i <= runner_count; i++)); do
    start_standin "runner-$i" service "{$(listen "$(runner_port $i)"), \"service\": {\"checks_fence\": $([ "$i" = 1 ] && echo true || echo false)}}"
  done
}

router_settings() {
  local i=$1 seeds=() j
  for ((j = 1; j <= host_count; j++)); do
    [ "$j" = "$i" ] || seeds+=("{\"name\": \"host-$j\", \"address\": \"127.0.0.1\", \"port\": $(peer_port $j)}")
  done
  local IFS=,
  cat <<JSON
{
  "host": {"name": "host-$i", "failure_domain": "${domains[$((i % 3))]}"},
  "callers": {"address": "127.0.0.1", "port": $(caller_port $i)},
  "operators": {"address": "127.0.0.1", "port": $(operator_port $i)},
  "peers": {"address": "127.0.0.1", "port": $(peer_port $i), "seeds": [${seeds[*]}], "key_file": "$run_dir/peer.key"},
  "platform": {
    "log": {"address": "127.0.0.1", "port": $log_port},
    "membership": {"address": "127.0.0.1", "port": $membership_port}},
  "limits": {"not_ready_before_drain_ms": 200, "drain_timeout_ms": 60000}
}
JSON
}

start_router() {
  router_settings "$1" >"$run_dir/host-$1.json"
  start_process "host-$1" "$build/bin/bergamothook-router" --config "$run_dir/host-$1.json"
}

write_ctl_settings() {
  local hosts=() i
  for ((i = 1; i <= host_count; i++)); do
    hosts+=("{\"name\": \"host-$i\", \"address\": \"127.0.0.1\", \"port\": $(operator_port $i)}")
  done
  printf 'ops-token\n' >"$run_dir/operator.token"
  local IFS=,
  cat >"$run_dir/ctl.json" <<JSON
{
  "operator": "ops",
  "token_file": "$run_dir/operator.token",
  "log": {"address": "127.0.0.1", "port": $log_port},
  "hosts": [${hosts[*]}]
}
JSON
}

ctl() { "$build/bin/bergamothook-ctl" --config "$run_dir/ctl.json" "$@"; }

# Waits until a URL answers with a status below 300.
wait_for_url() {
  local tries
  for ((tries = 0; tries < 200; tries++)); do
    curl -sf -o /dev/null --max-time 2 "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  sleep 0.5
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# Writes a fresh key of the hosts' protocol.
write_peer_key() {
  (umask 077 && printf '{"signWith": 1, "keys": {"1": "%s"}}\n' "$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')" >"$run_dir/peer.key")
}

# Starts everything and publishes the sample site.
start_fleet() {
  host_count=$1
  rm -rf "$run_dir"
  mkdir -p "$run_dir"
  write_peer_key
  start_platform
  write_ctl_settings
  wait_for_url "http://127.0.0.1:$log_port/healthz"
  wait_for_url "http://127.0.0.1:$membership_port/healthz"
  local i team
  for ((i = 1; i <= host_count; i++)); do start_router "$i"; done
  ctl apply "$root/Meta/Sample/site.json"
  for team in fountain-field fountain-reports mirandes-fitters mirandes-drafts; do
    ctl topup "$team" 1000000
  done
  for ((i = 1; i <= host_count; i++)); do
    wait_for_url "http://127.0.0.1:$(caller_port $i)/readyz"
  done
}
