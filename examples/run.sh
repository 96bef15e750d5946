#!/usr/bin/env bash
# Starts a deployment of examples/ as separate processes on this machine: the
# platform stand-in, nine database stand-ins and seven instances, each with its own
# settings file. Stops all processes on Ctrl-C.
#
# Usage: examples/run.sh alliance|sahel|DIRECTORY [LOG_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?usage: examples/run.sh alliance|sahel|DIRECTORY [LOG_DIRECTORY]}
logs=${2:-$(mktemp -d)}
files=$deployment
[ -d "$files" ] || files=examples/$deployment
mkdir -p "$logs"
[ -f "$files/platform.yaml" ] || { echo "no platform.yaml in $files" >&2; exit 2; }

go build -o bin/ ./cmd/geraniumbeamd ./cmd/geraniumbeamctl ./cmd/geraniumbeam-standin
pids=()
stop() { kill "${pids[@]}" 2>/dev/null || true; wait; }
trap stop EXIT

platform=$(sed -n 's#^platform: http://##p' "$files"/*-1.yaml | head -n 1)
bin/geraniumbeam-standin platform --listen "$platform" --seed "$files/platform.yaml" >"$logs/platform.log" 2>&1 &
pids+=($!)

limit=$(sed -n 's/^ *connection_limit: //p' "$files"/*-1.yaml | head -n 1)
# Format of database lines in platform.yaml: {name: N, data_centre: D, address: "A"}
databases=$(sed -n 's/^ *- {name: \([^,]*-[abc]\), data_centre: [^,]*, address: "\(.*\)"}/\1 \2/p' "$files/platform.yaml")
while read -r name address; do
	group=${name%-*}
	peers=$(awk -v g="$group-" 'index($1, g) == 1 {printf "%s%s=%s", s, $1, $2; s=";"}' <<<"$databases")
	bin/geraniumbeam-standin database --name "$name" --listen "$address" --peers "$peers" --primary "$group-a" \
		--connection-limit "$limit" ${GERANIUMBEAM_DATABASE_FLAGS:-} >"$logs/$name.log" 2>&1 &
	pids+=($!)
done <<<"$databases"

for settings in "$files"/*-[0-9].yaml; do
	name=$(basename "$settings" .yaml)
	bin/geraniumbeamd "$settings" >"$logs/$name.log" 2>&1 &
	pids+=($!)
done

# Fails if a process has exited, for example because its address is in use. Without
# this check, another deployment on the same addresses would answer instead.
check() {
	for pid in "${pids[@]}"; do
		if ! kill -0 "$pid" 2>/dev/null; then
			echo "A process failed to start. Another deployment may use the same addresses. Logs: $logs" >&2
			grep -lE "in use|error" "$logs"/*.log >&2 || true
			exit 1
		fi
	done
}

sleep 1
check
until bin/geraniumbeamctl --platform "http://$platform" status >/dev/null 2>&1; do
	check
	sleep 0.2
done
check
bin/geraniumbeamctl --platform "http://$platform" status
echo "Logs: $logs"
echo "Callers: $(sed -n 's/^listen_callers: //p' "$files"/*-[0-9].yaml | tr '\n' ' ')"
wait
