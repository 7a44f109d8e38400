#!/usr/bin/env bash
# Starts 4 control replicas, an entry, and an engine with its agent, and measures
# how their cost grows with fake agents, fake entries and requests.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh

readonly DIGEST1=$(weights 1 --seed 1)
write_note 1 add 1 "$DIGEST1"
# The agent's capacity must not limit the request rates measured.
sed -i 's/^capacity: .*/capacity: 200/' "$RUN/settings/agent-0.yaml"
start origin "$BIN/rhubarb-standin" origin --listen "$(addr 100)" --dir "$RUN/origin"
start engine-0 "$BIN/rhubarb-standin" engine --listen "$(addr 90)" --capacity 200 --per-token 10ms
for i in 0 1 2 3; do
	start "control-$i" "$BIN/rhubarb-control" --settings "$RUN/settings/control-$i.yaml"
done
start entry-0 "$BIN/rhubarb-entry" --settings "$RUN/settings/entry-0.yaml"
start agent-0 "$BIN/rhubarb-agent" --settings "$RUN/settings/agent-0.yaml"
wait_controls
"${CTL[@]}" apply --wait "$RUN/note-1.yaml" >/dev/null
wait_for 60 "version 1 live" live_on 1 1
sleep 2

pid_of() { cat "$RUN/$1.pid"; }
"$BIN/capacity" --controls "$(addr 10),$(addr 11),$(addr 12),$(addr 13)" --entry "$(addr 40)" \
	--token "$RUN/tokens/process" --caller "$RUN/tokens/caller" \
	--control-pids "$(pid_of control-0),$(pid_of control-1),$(pid_of control-2),$(pid_of control-3)" \
	--entry-pid "$(pid_of entry-0)" --agent-pid "$(pid_of agent-0)" "$@"
