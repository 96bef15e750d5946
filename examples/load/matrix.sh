#!/usr/bin/env bash
# Runs load scenarios against a deployment of separate processes, once for each
# combination of scenario, admission policy and seed, and writes one report per run.
#
# Usage: examples/load/matrix.sh DEPLOYMENT OUTPUT "SCENARIO..." "POLICY..." "SEED..."
# Example: examples/load/matrix.sh alliance /tmp/out "browse-flood" "targets fifo strict" "11 12 13"
set -euo pipefail
cd "$(dirname "$0")/../.."
deployment=$1 output=$2 scenarios=$3 policies=$4 seeds=$5
mkdir -p "$output"
go build -o bin/ ./cmd/geraniumbeam-load

addresses() { sed -n "s/^$1: //p" examples/"$deployment"/*-[0-9].yaml | paste -sd, -; }

run() { # scenario policy seed
	local name=$deployment-$1-$2-$3 files
	files=$(mktemp -d)
	cp examples/"$deployment"/*.yaml "$files/"
	if [ "$2" != targets ]; then
		for f in "$files"/*-[0-9].yaml; do printf 'unsafe:\n  admission_policy: %s\n' "$2" >>"$f"; done
	fi
	# The scenarios assume two slots and 40 ms per statement.
	GERANIUMBEAM_DATABASE_FLAGS="--service-time 40ms" setsid examples/run.sh "$files" "$files/logs" >"$files/run.log" 2>&1 &
	local deployment_pid=$!
	until grep -q '^Callers:' "$files/run.log"; do
		sleep 0.3
		kill -0 "$deployment_pid" || { cat "$files/run.log"; return 1; }
	done
	bin/geraniumbeam-load run "examples/load/$deployment-$1.yaml" --seed "$3" --address "$(addresses listen_callers)" \
		--vars "$(addresses listen_metrics)" >"$output/$name.txt" 2>&1 || true
	kill -TERM -- "-$deployment_pid" 2>/dev/null || true
	wait "$deployment_pid" 2>/dev/null || true
	rm -rf "$files"
	echo "== $name"
	cat "$output/$name.txt"
}

for scenario in $scenarios; do
	for policy in $policies; do
		for seed in $seeds; do run "$scenario" "$policy" "$seed"; done
	done
done
