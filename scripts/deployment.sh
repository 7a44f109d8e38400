# A whole deployment on loopback as separate processes, for the scripts of this
# folder, which source this file. Folder and ports come from RUN_DIR and
# RUN_BASE_PORT. Exactly the processes started here are stopped at the end.

readonly BIN=$PWD/bin
readonly RUN=${RUN_DIR:-$PWD/run}
readonly BASE=${RUN_BASE_PORT:-27000}
readonly WEIGHTS_MIB=${RUN_WEIGHTS_MIB:-48}

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

start_deployment() {
	local i
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
}

readonly CTL=("$BIN/rhubarbctl" --token-file "$RUN/tokens/operator"
	--control "$(addr 20),$(addr 21),$(addr 22),$(addr 23)")
readonly ENTRIES="$(addr 40),$(addr 41),$(addr 42),$(addr 43)"

ready() { # admin port offset
	curl -sf -o /dev/null "http://$(addr "$1")/readyz"
}
wait_controls() {
	local i
	for i in 0 1 2 3; do wait_for 20 "control-$i ready" ready $((30 + i)); done
}

live_on() { # version count
	local live
	live=$("${CTL[@]}" --json endpoints | grep -o "\"version\": *\"$1\"" | wc -l)
	[ "$live" -ge "$2" ]
}

now_ms() { date +%s%3N; }

extract() { # file key...
	local file=$1 key
	shift
	for key in "$@"; do tr -d ' \n' <"$file" | grep -o "\"$key\":{[^}]*}" || true; done
}
