#!/usr/bin/env bash
# Starts the whole system on loopback as separate processes, rolls out two
# versions of a model under load, checks what callers saw, and stops exactly
# the processes that it started. Exits 0 only if every check held.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly QUOTE_SECONDS=${RUN_QUOTE_SECONDS:-20}
readonly QUOTE_RATE=${RUN_QUOTE_RATE:-12}
. scripts/deployment.sh

echo "== writing two versions of the weights, ${WEIGHTS_MIB} MiB each"
readonly DIGEST1=$(weights 1 --seed 1)
readonly DIGEST2=$(weights 2 --seed 2)
write_note 1 add 1 "$DIGEST1"
write_note 2 change 2 "$DIGEST2"

start_deployment
wait_controls

echo "== note 1: quote version 1"
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
