#!/bin/bash
# Measures prompts that exceed the memory of one engine: their time to first token
# by size and number of engines, and that of short prompts sent at the same time.
# usage: BUILD=build t/oversize.sh
# Exits with 1 when not all engines register in time.
BUILD=${BUILD:-build}
MEMORY=${MEMORY:-40000}   # tokens of each engine
SCALE=${SCALE:-20}        # engines' time scale, percent
SHORTS=${SHORTS:-20}      # short prompts in each measurement
ip=127.77.$((RANDOM % 250)).1
port=24000
pids=()
folder=$(mktemp -d)

stop_all() {
	[ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null
	wait 2>/dev/null
	pids=()
}
trap 'stop_all; rm -rf "$folder"' EXIT

cat >"$folder/10.yaml" <<'YAML'
number: 1
zones:
  - {name: here, region: r}
size_classes:
  - {name: any, up_to_tokens: 1000000, first_token_ms: 5000, deadline_ms: 60000}
services:
  - {name: engines, kind: engine, model: base}
customers:
  - {name: counter, weight: 1, priority: 5}
YAML

start_deployment() { # ENGINES
	port=$((port + 1))
	entry=$ip:$port
	"$BUILD/lwm-entryd" --instance e --zone here --listen "$entry" \
		--config-folder "$folder" >/dev/null 2>>"$folder/log" &
	pids+=($!)
	sleep 0.3
	local i
	for i in $(seq "$1"); do
		port=$((port + 1))
		"$BUILD/lwm-upstream" --upstream "u$i" --kind engine \
			--service engines --zone here --listen "$ip:$port" \
			--announce-to "$entry" --announce-ms 300 \
			--kv-tokens "$MEMORY" --time-scale-percent "$SCALE" \
			>/dev/null 2>>"$folder/log" &
		pids+=($!)
	done
	sleep 1
	curl -s "http://$entry/metrics" | grep -qx "lwm_upstreams $1" || {
		echo "oversize: not all engines have registered" >&2
		exit 1
	}
}

# Writes a request body with a prompt of TOKENS tokens. SEED changes the first words.
write_body() { # FILE TOKENS SEED MAX_TOKENS
	awk -v n="$2" -v s="$3" -v m="$4" 'BEGIN {
		printf "{\"customer\":\"counter\",\"stream\":true,\"max_tokens\":%d,\"prompt\":\"", m
		for (i = 0; i < n; i++) printf "%03d ", (i * 7 + s * 131) % 1000
		printf "\"}" }' >"$1"
}

# Prints the milliseconds until the first event. Does not use curl's own time of
# the first byte, which is wrong for large bodies.
measure_first_token() { # BODY
	local start
	start=$(date +%s%3N)
	curl -sN --max-time 90 -H 'Expect:' --data-binary @"$1" \
		"http://$entry/v1/completions" | {
		read -r line
		[[ $line == 'data: {"id"'* ]] && echo $(($(date +%s%3N) - start))
		cat >/dev/null
	}
}

# Sends the short prompts; prints the p50 and p95 of their time to first token, ms.
measure_shorts() {
	local i
	for i in $(seq "$SHORTS"); do
		write_body "$folder/short" 1000 "$((RANDOM + i))" 8
		measure_first_token "$folder/short"
		sleep 0.02
	done | sort -n |
		awk '{ v[NR] = $1 } END {
			printf "count=%d p50_ms=%.0f p95_ms=%.0f", NR,
				v[int((NR + 1) / 2)], v[int(NR * 0.95 + 0.5)] }'
}

for engines in 2 4 8; do
	start_deployment "$engines"
	echo "engines=$engines shorts=alone $(measure_shorts)"
	for times in 2 3; do
		write_body "$folder/long" $((MEMORY * times + MEMORY / 5)) "$times" 32
		echo "engines=$engines memories=$times.2 first_token_ms=$(measure_first_token "$folder/long")"
	done
	write_body "$folder/long" $((MEMORY * 3 + MEMORY / 5)) 9 32
	measure_first_token "$folder/long" >"$folder/long.out" &
	long_pid=$!
	sleep 0.2
	mixed_result=$(measure_shorts)
	still_running=no
	kill -0 "$long_pid" 2>/dev/null && still_running=yes
	wait "$long_pid"
	echo "engines=$engines shorts=beside $mixed_result long_still_read=$still_running"
	curl -s "http://$entry/metrics" | grep '^lwm_oversize' | paste -sd' '
	stop_all
done
