#!/usr/bin/env bash
# Kills (SIGKILL) and pauses (SIGSTOP, SIGCONT) one real process of each role
# under load, and loses the disk of a control replica. Exits 0 only if callers
# saw no violation, a note was accepted during each fault, and the last note is
# live everywhere at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly PAUSE_SECONDS=4
. scripts/deployment.sh

readonly DIGEST1=$(weights 1 --seed 1)
readonly DIGEST2=$(weights 2 --seed 1 --changed-seed 2)
start_deployment
wait_controls
write_note 1 add 1 "$DIGEST1"
"${CTL[@]}" apply --wait "$RUN/note-1.yaml" >/dev/null
wait_for 60 "version 1 live on 4 endpoints" live_on 1 4

"$BIN/rhubarb-load" quotes --entry "$ENTRIES" --zone bne-a --token-file "$RUN/tokens/caller" \
	--models quote=1 --rate 10 --duration 110s --count 1100 --stream-share 0.7 \
	--weights "quote=$RUN/origin/manifests/${DIGEST1#sha256:}" \
	--weights "quote=$RUN/origin/manifests/${DIGEST2#sha256:}" \
	--out "$RUN/quotes.json" 2>"$RUN/quotes.log" &
quotes=$!
"$BIN/rhubarb-load" services --entry "$ENTRIES" --zone bne-a --token-file "$RUN/tokens/caller" \
	--service dispatch --executions "http://$(addr 99)/executions" --rate 5 \
	--duration 110s --count 550 --settle 10s --out "$RUN/orders.json" 2>"$RUN/orders.log" &
orders=$!

note=1
next_note() { # submits a change to the other version and prints the time taken
	note=$((note + 1))
	local version=$((note % 2 == 0 ? 2 : 1)) digest=$DIGEST1 t0
	[ "$version" = 2 ] && digest=$DIGEST2
	write_note "$note" change "$version" "$digest"
	t0=$(now_ms)
	"${CTL[@]}" --timeout 30s apply --wait "$RUN/note-$note.yaml" >"$RUN/apply-$note.out" 2>&1 ||
		fail "note $note during $1: $(cat "$RUN/apply-$note.out")"
	echo "$1: note $note accepted and in force after $(($(now_ms) - t0)) ms"
}

pid_of() { cat "$RUN/$1.pid"; }

leader() { "${CTL[@]}" --json status | tr -d ' ' | grep -o '"leader":"control-[0-9]' | grep -o 'control-[0-9]' | head -n 1; }

pause() {
	kill -STOP "$(pid_of "$1")"
	next_note "$1 paused"
	sleep $PAUSE_SECONDS
	kill -CONT "$(pid_of "$1")"
	sleep 2
}

restart() { # name command...
	local name=$1
	shift
	kill -KILL "$(pid_of "$name")"
	next_note "$name killed"
	sleep 1
	start "$name" "$@"
	sleep 3
}

daemon() { # role number
	echo "$BIN/rhubarb-$1" --settings "$RUN/settings/$1-$2.yaml"
}

for role in control entry; do
	for n in 0 1; do
		[ "$role-$n" = control-0 ] && victim=$(leader) || victim=$role-$n
		pause "$victim"
	done
done
pause agent-0
pause engine-1
victim=$(leader)
restart "$victim" $(daemon control "${victim#control-}")
restart entry-2 $(daemon entry 2)
restart agent-1 $(daemon agent 1)
restart engine-2 "$BIN/rhubarb-standin" engine --listen "$(addr 92)" --check-fence

kill -KILL "$(pid_of control-3)"
rm -rf "$RUN/control-3"
next_note "control-3 lost with its disk"
start control-3 $(daemon control 3)
sleep 5
next_note "control-3 back without its disk"

quotes_ok=0 orders_ok=0
wait "$quotes" || quotes_ok=$?
wait "$orders" || orders_ok=$?
wait_for 60 "last version live on 4 endpoints" live_on "$((note % 2 == 0 ? 2 : 1))" 4
echo "-- quotes ($RUN/quotes.json)"
extract "$RUN/quotes.json" outcomes reasons violations first_token between_tokens
echo "-- orders ($RUN/orders.json)"
extract "$RUN/orders.json" outcomes reasons violations
[ "$quotes_ok" = 0 ] || fail "quotes: rhubarb-load exited $quotes_ok"
[ "$orders_ok" = 0 ] || fail "orders: rhubarb-load exited $orders_ok"
echo "== all checks held"
