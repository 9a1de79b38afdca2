# The requests that "run" sends, the table that it prints, and the verdict that
# it draws from what the stand-ins and the log saw. Sourced by bergamothook.sh.

# Sends a streamed chat completion through a host: label, host, team, key,
# model, prompt. Leaves the events and the time taken in $run_dir.
send_chat() {
  local label=$1 host=$2 team=$3 key=$4 model=$5 prompt=$6
  curl -sN --max-time 60 -o "$run_dir/$label.sse" -w '%{http_code} %{time_total}\n' \
    -H "Authorization: Bearer $team-token" -H "Idempotency-Key: $key" \
    -H 'Content-Type: application/json' \
    -d "{\"model\": \"$model\", \"stream\": true, \"stream_options\": {\"include_usage\": true}, \"max_tokens\": 200, \"messages\": [{\"role\": \"user\", \"content\": \"$prompt\"}]}" \
    "http://127.0.0.1:$(caller_port "$host")/v1/chat/completions" >"$run_dir/$label.status" || true
}

# Sends an order: label, host, team, key, body.
send_order() {
  local label=$1 host=$2 team=$3 key=$4 body=$5
  curl -s --max-time 60 -o "$run_dir/$label.body" -w '%{http_code} %{time_total}\n' \
    -H "Authorization: Bearer $team-token" -H "Idempotency-Key: $key" \
    -H 'Content-Type: application/json' -d "$body" \
    "http://127.0.0.1:$(caller_port "$host")/v1/orders" >"$run_dir/$label.status" || true
}

# The text of a streamed answer, if its end is marked.
answer_text() {
  grep -q '^data: \[DONE\]' "$run_dir/$1.sse" || return 0
  sed -n 's/^data: {/{/p' "$run_dir/$1.sse" | jq -rj '.choices[0].delta.content // empty'
}

answer_tokens() {
  sed -n 's/^data: {/{/p' "$run_dir/$1.sse" | jq -rs '[.[] | select(.usage) | .usage.total_tokens][0] // empty'
}

# What all engines ran, as one JSON list with the engine's name in each line.
engine_ledgers() {
  local i
  for ((i = 1; i <= engine_count; i++)); do
    curl -sf "http://127.0.0.1:$(engine_port $i)/ledger" | jq -c --arg name "engine-$i" '.runs[] + {target: $name}'
  done | jq -sc .
}

runner_ledgers() {
  local i
  for ((i = 1; i <= runner_count; i++)); do
    curl -sf "http://127.0.0.1:$(runner_port $i)/ledger" | jq -c --arg name "runner-$i" '.runs[] + {target: $name}'
  done | jq -sc .
}

send_requests() {
  send_chat chat-1 1 fountain-field guide-1 guide-small "The valve of the fountain at the north gate drips. What first?"
  send_chat chat-1-retry 2 fountain-field guide-1 guide-small "The valve of the fountain at the north gate drips. What first?"
  send_chat chat-2 2 mirandes-fitters quote-7 guide-small "Brackets for a rail of four metres?"
  send_chat chat-2-retry 3 mirandes-fitters quote-7 guide-small "Brackets for a rail of four metres?"
  send_chat chat-3 3 mirandes-drafts dossier-3 dossier-large "Draft the installation dossier. [tokens=180]"
  send_chat chat-3-retry 1 mirandes-drafts dossier-3 dossier-large "Draft the installation dossier. [tokens=180]"
  send_order order-1 1 fountain-field work-41 '{"fountain": "north gate", "work": "replace the valve"}'
  send_order order-1-retry 3 fountain-field work-41 '{"fountain": "north gate", "work": "replace the valve"}'
  send_order order-2 2 mirandes-fitters mount-9 '{"landing": 2, "rail": "oak"}'
  send_order order-2-retry 1 mirandes-fitters mount-9 '{"landing": 2, "rail": "oak"}'
}

# One line of the table: label, host, the ledger's target, outcome, tokens, time.
print_chat_line() {
  local label=$1 host=$2 target=$3 outcome=lost status seconds
  read -r status seconds <"$run_dir/$label.status"
  [ -n "$(answer_text "$label")" ] && outcome=done
  printf '%-16s host-%-3s %-10s %-12s %7s %8.0f ms\n' "$label" "$host" "$target" "$outcome/$status" "$(answer_tokens "$label")" "$(awk "BEGIN{print $seconds * 1000}")"
}

print_order_line() {
  local label=$1 host=$2 target=$3 status seconds
  read -r status seconds <"$run_dir/$label.status"
  printf '%-16s host-%-3s %-10s %-12s %7s %8.0f ms\n' "$label" "$host" "$target" "$([ "$status" = 200 ] && echo done || echo failed)/$status" - "$(awk "BEGIN{print $seconds * 1000}")"
}

# The identifier of a request, as every part of the fleet logs it.
request_of() {
  sed -n 's/^data: {/{/p' "$run_dir/$1.sse" | jq -rs '.[0].id // empty | sub("^chatcmpl-"; "")'
}

# Counts the answers that hold exactly the text which the engine that finished
# them had generated, by the engines' own ledgers, which the first argument
# gives. An engine that crashed has a part only.
count_whole_answers() {
  local ledgers=$1 label whole=0 expected
  shift
  for label in "$@"; do
    expected=$(jq -r --arg r "$(request_of "$label")" '[.[] | select(.request == $r)] | max_by(.generated_tokens).answer // empty' <<<"$ledgers")
    [ -n "$expected" ] && [ "$(answer_text "$label")" = "$expected" ] && whole=$((whole + 1))
  done
  echo "$whole"
}

run_demo() {
  trap stop_fleet EXIT
  trap 'exit 130' INT TERM
  start_fleet 3
  send_requests
  sleep 1
  judge "$@"
}

judge() {
  local chats=(chat-1 chat-1-retry chat-2 chat-2-retry chat-3 chat-3-retry)
  local engines runners label request target whole billed=0 landed=0 overspend=0 refusals=0 account view settled
  engines=$(engine_ledgers)
  runners=$(runner_ledgers)
  printf '\n%-16s %-8s %-10s %-12s %7s %11s\n' request host target outcome billed time
  local hosts=(1 2 2 3 3 1) i=0
  for label in "${chats[@]}"; do
    request=$(request_of "$label")
    target=$(jq -r --arg r "$request" '[.[] | select(.request == $r) | .target] | unique | join(",")' <<<"$engines")
    print_chat_line "$label" "${hosts[$i]}" "$target"
    i=$((i + 1))
  done
  local orders=(order-1 order-1-retry order-2 order-2-retry)
  hosts=(1 3 2 1)
  i=0
  for label in "${orders[@]}"; do
    target=$(jq -r --arg b "$([[ $label = order-1* ]] && echo valve || echo oak)" '[.[] | select(.body | contains($b)) | .target] | unique | join(",")' <<<"$runners")
    print_order_line "$label" "${hosts[$i]}" "$target"
    i=$((i + 1))
  done
  whole=$(count_whole_answers "$engines" "${chats[@]}")

  # Billed once: the ledger on the log holds, for each account, the sum of what
  # the engines counted for its requests, each request taken once.
  local expected=0 total=0
  for label in chat-1 chat-2 chat-3; do
    request=$(request_of "$label")
    expected=$(jq --arg r "$request" '[.[] | select(.request == $r) | .prompt_tokens + .generated_tokens] | max // 0' <<<"$engines")
    account=$(case $label in chat-1) echo fountain-field ;; chat-2) echo mirandes-fitters ;; *) echo mirandes-drafts ;; esac)
    view=$(ctl budget "$account")
    settled=$(jq .settled <<<"$view")
    [ "$settled" = "$expected" ] && [ "$settled" -gt 0 ] && billed=$((billed + 1))
    # Overspent is what the engines generated, also twice, above the top-ups.
    total=$(jq --arg r "$request" '[.[] | select(.request == $r) | .prompt_tokens + .generated_tokens] | add // 0' <<<"$engines")
    total=$(($(jq .topped_up <<<"$view") - total))
    [ "$total" -lt 0 ] && overspend=$((overspend - total))
  done
  for label in "${chats[@]}"; do [ -n "$(answer_text "$label")" ] || refusals=$((refusals + 1)); done
  for label in "${orders[@]}"; do
    read -r status _ <"$run_dir/$label.status"
    [ "$status" = 200 ] || refusals=$((refusals + 1))
  done
  landed=$(jq length <<<"$runners")
  ctl ledger verify
  jq -nc --argjson whole "$whole" --argjson billed "$billed" --argjson landed "$landed" --argjson over "$overspend" --argjson refused "$refusals" \
    '{requests: 10, whole_answers: $whole, billed_once: $billed, orders_landed: $landed, overspend_tokens: $over, false_refusals: $refused}'
  if [ "${1:-}" = --keep ]; then
    printf 'callers: '
    for i in 1 2 3; do printf 'http://127.0.0.1:%s ' "$(caller_port $i)"; done
    printf '\noperators: '
    for i in 1 2 3; do printf 'http://127.0.0.1:%s ' "$(operator_port $i)"; done
    printf '\n%s\n' "bergamothook-ctl --config Run/ctl.json status; Ctrl-C stops the fleet"
    wait
  fi
  [ "$whole" = 6 ] && [ "$billed" = 3 ] && [ "$landed" = 2 ] && [ "$overspend" = 0 ] && [ "$refusals" = 0 ]
}
