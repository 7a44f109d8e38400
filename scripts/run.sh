#!/usr/bin/env bash
# Starts the whole system on loopback as separate processes, rolls out two
# versions of a model under load, checks what callers saw, and stops exactly
# the processes that it started. Exits 0 only if every check held.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BIN=$PWD/bin
readonly RUN=${RUN_DIR:-$PWD/run}
readonly BASE=${RUN_BASE_PORT:-27000}
readonly WEIGHTS_MIB=${RUN_WEIGHTS_MIB:-48}
readonly QUOTE_SECONDS=${RUN_QUOTE_SECONDS:-20}
readonly QUOTE_RATE=${RUN_QUOTE_RATE:-12}

readonly CONTROL_REGIONS=(brisbane brisbane townsville rockhampton)
readonly CONTROL_ZONES=(bne-a bne-b tsv-a rok-a)
readonly ENGINE_REGIONS=(brisbane brisbane townsville rockhampton)
readonly ENGINE_ZONES=(bne-a bne-b tsv-a rok-a)

pids=()
stop_all() {
	local pid
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for _ in $(seq 100); do
		local alive=0
		for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
		[ "$alive" = 0 ] && return
		sleep 0.1
	done
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

start() { # name command...
	local name=$1
	shift
	"$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
	pids+=($!)
	echo $! >"$RUN/$name.pid"
}

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

wait_for() { # seconds description command...
	local limit=$1 what=$2
	shift 2
	local end=$((SECONDS + limit))
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || fail "$what not reached within ${limit} s"
		sleep 0.2
	done
}

rm -rf "$RUN"
mkdir -p "$RUN"/{tokens,origin,settings}
for token in process operator caller; do
	head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$RUN/tokens/$token"
	chmod 600 "$RUN/tokens/$token"
done

addr() { echo "127.0.0.1:$((BASE + $1))"; }

controls_yaml() {
	local i
	for i in 0 1 2 3; do echo "  - $(addr $((10 + i)))"; done
}
voters_yaml() {
	local i
	for i in 0 1 2 3; do echo "  control-$i: $(addr $((10 + i)))"; done
}
common_yaml() { # instance zone region admin-offset
	cat <<YAML
instance: $1
zone: $2
region: $3
log_level: info
admin_listen: $(addr "$4")
process_token_file: $RUN/tokens/process
YAML
}

for i in 0 1 2 3; do
	{
		common_yaml "entry-instance-$i" "${CONTROL_ZONES[$i]}" "${CONTROL_REGIONS[$i]}" $((30 + i))
		cat <<YAML
replica: control-$i
session_listen: $(addr $((10 + i)))
advertise: $(addr $((10 + i)))
operator_listen: $(addr $((20 + i)))
operator_token_file: $RUN/tokens/operator
data_dir: $RUN/control-$i
voters:
$(voters_yaml)
YAML
	} >"$RUN/settings/control-$i.yaml"
	mkdir -p "$RUN/control-$i"
	{
		common_yaml "entry-instance-$i" "${CONTROL_ZONES[$i]}" "${CONTROL_REGIONS[$i]}" $((50 + i))
		cat <<YAML
listen: $(addr $((40 + i)))
advertise: $(addr $((40 + i)))
caller_token_file: $RUN/tokens/caller
controls:
$(controls_yaml)
entries:
$(for k in 0 1 2 3; do echo "  - {name: entry-instance-$k, address: \"$(addr $((40 + k)))\", zone: ${CONTROL_ZONES[$k]}}"; done)
YAML
	} >"$RUN/settings/entry-$i.yaml"
	{
		common_yaml "engine-instance-$i" "${ENGINE_ZONES[$i]}" "${ENGINE_REGIONS[$i]}" $((80 + i))
		cat <<YAML
endpoint: engine-$i
kind: engine
role: quote
gate_listen: $(addr $((60 + i)))
advertise_gate: $(addr $((60 + i)))
peer_listen: $(addr $((70 + i)))
advertise_peer: $(addr $((70 + i)))
backend: http://$(addr $((90 + i)))
controls:
$(controls_yaml)
cache_dir: $RUN/cache-$i
store: http://$(addr 101)
origin: http://$(addr 100)
objective: time
region_links: never
capacity: 8
YAML
	} >"$RUN/settings/agent-$i.yaml"
	mkdir -p "$RUN/cache-$i"
done
{
	common_yaml "service-instance" bne-a brisbane 84
	cat <<YAML
endpoint: dispatch-0
kind: service
service: dispatch
gate_listen: $(addr 64)
advertise_gate: $(addr 64)
peer_listen: $(addr 74)
advertise_peer: $(addr 74)
backend: http://$(addr 99)
controls:
$(controls_yaml)
capacity: 8
YAML
} >"$RUN/settings/agent-4.yaml"

write_note() { # number action version digest
	cat >"$RUN/note-$1.yaml" <<YAML
note: $1
models:
  $2:
    - name: quote
      version: "$3"
      manifest: $4
      replicas: {role: quote}
YAML
}

weights() { # version seed-flags...
	local version=$1
	shift
	"$BIN/rhubarb-standin" weights --dir "$RUN/origin" --name quote --version "$version" \
		--size "${WEIGHTS_MIB}MiB" "$@" | tail -n 1 | grep -o 'sha256:[0-9a-f]*'
}

echo "== writing two versions of the weights, ${WEIGHTS_MIB} MiB each"
readonly DIGEST1=$(weights 1 --seed 1)
readonly DIGEST2=$(weights 2 --seed 2)
write_note 1 add 1 "$DIGEST1"
write_note 2 change 2 "$DIGEST2"

echo "== starting processes (logs under $RUN)"
start origin "$BIN/rhubarb-standin" origin --listen "$(addr 100)" --dir "$RUN/origin"
start store "$BIN/rhubarb-standin" store --listen "$(addr 101)" --dir "$RUN/origin" --requests 4 --burst 4
start service "$BIN/rhubarb-standin" service --listen "$(addr 99)" --name dispatch
for i in 0 1 2 3; do
	start "engine-$i" "$BIN/rhubarb-standin" engine --listen "$(addr $((90 + i)))" --check-fence
	start "control-$i" "$BIN/rhubarb-control" --settings "$RUN/settings/control-$i.yaml"
	start "entry-$i" "$BIN/rhubarb-entry" --settings "$RUN/settings/entry-$i.yaml"
done
for i in 0 1 2 3 4; do
	start "agent-$i" "$BIN/rhubarb-agent" --settings "$RUN/settings/agent-$i.yaml"
done

readonly CTL=("$BIN/rhubarbctl" --token-file "$RUN/tokens/operator"
	--control "$(addr 20),$(addr 21),$(addr 22),$(addr 23)")
readonly ENTRIES="$(addr 40),$(addr 41),$(addr 42),$(addr 43)"

ready() { # admin port offset
	curl -sf -o /dev/null "http://$(addr "$1")/readyz"
}
for i in 0 1 2 3; do wait_for 20 "control-$i ready" ready $((30 + i)); done

live_on() { # version count
	local live
	live=$("${CTL[@]}" --json endpoints | grep -o "\"version\": *\"$1\"" | wc -l)
	[ "$live" -ge "$2" ]
}

echo "== note 1: quote version 1"
now_ms() { date +%s%3N; }
t0=$(now_ms)
"${CTL[@]}" apply --wait "$RUN/note-1.yaml"
echo "in force everywhere after $(($(now_ms) - t0)) ms"
wait_for 60 "version 1 live on 4 endpoints" live_on 1 4
echo "live on 4 endpoints after $(($(now_ms) - t0)) ms"
curl -sf "http://$(addr 100)/counters" && echo

echo "== quotes and orders while version 2 rolls out"
"$BIN/rhubarb-load" quotes --entry "$ENTRIES" --zone bne-a --token-file "$RUN/tokens/caller" \
	--models quote=1 --rate "$QUOTE_RATE" --duration "${QUOTE_SECONDS}s" --stream-share 0.7 \
	--weights "quote=$RUN/origin/manifests/${DIGEST1#sha256:}" \
	--weights "quote=$RUN/origin/manifests/${DIGEST2#sha256:}" \
	--min-done 0.99 --out "$RUN/quotes.json" 2>"$RUN/quotes.log" &
quotes=$!
"$BIN/rhubarb-load" services --entry "$ENTRIES" --zone bne-a --token-file "$RUN/tokens/caller" \
	--service dispatch --executions "http://$(addr 99)/executions" --rate 5 \
	--duration "${QUOTE_SECONDS}s" --out "$RUN/orders.json" 2>"$RUN/orders.log" &
orders=$!
sleep 3
t0=$(now_ms)
"${CTL[@]}" apply --wait "$RUN/note-2.yaml"
echo "in force everywhere after $(($(now_ms) - t0)) ms"
wait_for 60 "version 2 live on 4 endpoints" live_on 2 4
echo "live on 4 endpoints after $(($(now_ms) - t0)) ms"
"${CTL[@]}" status
quotes_ok=0 orders_ok=0
wait "$quotes" || quotes_ok=$?
wait "$orders" || orders_ok=$?
extract() { # file key...
	local file=$1 key
	shift
	for key in "$@"; do tr -d ' \n' <"$file" | grep -o "\"$key\":{[^}]*}" || true; done
}
echo "-- quotes ($RUN/quotes.json)"
extract "$RUN/quotes.json" outcomes reasons violations weights_sets first_token between_tokens
echo "-- orders ($RUN/orders.json)"
extract "$RUN/orders.json" outcomes reasons violations whole_answer

echo "== bytes that left the origin, the store, and went between endpoints"
curl -sf "http://$(addr 100)/counters" && echo
curl -sf "http://$(addr 101)/counters" && echo
peer_bytes=$("${CTL[@]}" --json endpoints | grep -o '"peer_bytes": *[0-9]*' | awk -F: '{s += $2} END {printf "%d", s}')
echo "bytes from other endpoints: $peer_bytes"

[ "$quotes_ok" = 0 ] || fail "quotes: rhubarb-load exited $quotes_ok"
[ "$orders_ok" = 0 ] || fail "orders: rhubarb-load exited $orders_ok"
[ "$peer_bytes" -gt 0 ] || fail "no chunk came from another endpoint"

echo "== bad input changes nothing"
refused() { # expected-pattern command...
	local pattern=$1 out
	shift
	out=$("$@" 2>&1) && fail "accepted: $*"
	grep -qi -- "$pattern" <<<"$out" || fail "unclear error for $*: $out"
	echo "refused: $(grep -i -m 1 -- "$pattern" <<<"$out")"
}
printf 'note: 3\nadapters:\n  add:\n    - {name: council, base: missing, version: "1", manifest: %s}\n' "$DIGEST1" >"$RUN/bad-base.yaml"
printf 'note: 3\nmodel:\n  add: []\n' >"$RUN/bad-field.yaml"
refused base "${CTL[@]}" apply "$RUN/bad-base.yaml"
refused model "${CTL[@]}" apply "$RUN/bad-field.yaml"
sed 's/^log_level:.*/log_levle: info/' "$RUN/settings/agent-0.yaml" >"$RUN/settings/bad-agent.yaml"
refused log_levle "$BIN/rhubarb-agent" --check --settings "$RUN/settings/bad-agent.yaml"
sed 's|^data_dir:.*|data_dir: /proc/nowhere|' "$RUN/settings/control-0.yaml" >"$RUN/settings/bad-control.yaml"
refused data_dir "$BIN/rhubarb-control" --check --settings "$RUN/settings/bad-control.yaml"
caller() { # body
	curl -s -H "Authorization: Bearer $(cat "$RUN/tokens/caller")" -H 'Rhubarb-Organisation: small' \
		-w ' %{http_code}' -d "$1" "http://$(addr 40)/v1/chat/completions"
}
grep -q ' 400$' <<<"$(caller '')" || fail "empty body: $(caller '')"
grep -q ' 404$' <<<"$(caller '{"model":"nobody","messages":[{"role":"user","content":"x"}]}')" || fail "unknown model"
"${CTL[@]}" --json status | grep -q '"revision": *2' || fail "bad input changed the revision"

echo "== all checks held"
