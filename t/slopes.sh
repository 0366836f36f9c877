#!/bin/bash
# Measures the cost of control traffic per daemon as deployments grow, with real
# entry daemons and simulated upstreams that only announce themselves. Prints lines
#   experiment=slopes daemons=N zones=Z metric=NAME value=V target=T
# and writes them to bench-out/slopes.tsv, from which t/capacity.sh computes
# the tables of docs/CAPACITY.md. Takes under 4 minutes.
# usage: t/slopes.sh ["DAEMONS:ZONES ..."]
# Exits with 1 when a deployment does not start or a measurement times out.
BUILD=${BUILD:-build}
LAYOUTS=${1:-"9:3 30:3 60:3 120:3 57:19"}
SETTLE_S=${SETTLE_S:-6}
MEASURE_S=${MEASURE_S:-12}
UPSTREAMS_A_DAEMON=3
STREAMS=170
out=bench-out/slopes.tsv
folder=$(mktemp -d)
ip=127.$((64 + ($$ >> 16) % 64)).$((($$ >> 8) % 256)).$((1 + $$ % 254))
port=24000
pids=() addresses=()

# Sets REPLY to the next free address.
next_address() {
	REPLY=$ip:$port
	port=$((port + 1))
}

stop_all() {
	local pid
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
	pids=() addresses=()
}
trap 'stop_all; rm -rf "$folder"' EXIT

start_process() { # LOG PROGRAM FLAG...
	local log=$folder/$1 program=$2
	shift 2
	"$BUILD/$program" "$@" >"$log.out" 2>"$log.log" &
	pids+=($!)
}

write_config() { # ZONES NUMBER
	local zone
	mkdir -p "$folder/config"
	{
		echo "number: $2"
		echo "zones:"
		for zone in $(seq "$1"); do echo "  - {name: z$zone, region: r}"; done
		echo "size_classes: [{name: any, up_to_tokens: 1000000," \
			"first_token_ms: 5000, deadline_ms: 60000}]"
		echo "services: [{name: engines, kind: engine, model: base}]"
		echo "customers: [{name: c, weight: 1}]"
	} >"$folder/new.yaml"
	mv "$folder/new.yaml" "$folder/config/10.yaml"
}

# Prints the metrics of every daemon, each line prefixed with the daemon's address.
scrape() {
	printf '%s\n' "${addresses[@]}" | xargs -P8 -I{} sh -c \
		'curl -fs --max-time 5 "http://{}/metrics" | grep -v "^#" | sed "s/^/{} /"'
}

# Succeeds when every daemon reports the value for the sample.
all_daemons_report() { # SAMPLE VALUE
	[ "$(scrape | awk -v s="$1" -v v="$2" '$2 == s && $3 == v' | wc -l)" -eq \
		"${#addresses[@]}" ]
}

# Waits up to 200 attempts, 0.1 s apart, until every daemon reports the value.
wait_until_all_report() { # SAMPLE VALUE
	local tries
	for tries in $(seq 200); do
		all_daemons_report "$1" "$2" && return 0
		sleep 0.1
	done
	echo "slopes: not all daemons reached $1 $2" >&2
	return 1
}

start_deployment() { # DAEMONS ZONES
	local daemons=$1 zones=$2 zone i peer listen zone_peers zone_seeds=() peers announce
	write_config "$zones" 1
	for zone in $(seq "$zones"); do
		zone_peers=() announce=
		for i in $(seq $((daemons / zones))); do
			peers=
			for peer in "${zone_peers[@]: -2}" "${zone_seeds[@]: -1}"; do
				peers="$peers --gossip-peer $peer"
			done
			next_address
			announce="$announce --announce-to $REPLY"
			addresses+=("$REPLY")
			listen=$REPLY
			next_address
			zone_peers+=("$REPLY")
			[ "$i" -eq 1 ] && zone_seeds+=("$REPLY")
			start_process "e$zone-$i" lwm-entryd --instance "e$zone-$i" --zone "z$zone" \
				--listen "$listen" --gossip-listen "$REPLY" $peers \
				$([ "${#addresses[@]}" -eq 1 ] && echo --config-folder "$folder/config") \
				--log-level warn
		done
		next_address
		start_process "swarm$zone" lwm-swarm --listen "$REPLY" --name "u$zone" \
			--zone "z$zone" --service engines --seed "$zone" \
			--upstreams $((daemons / zones * UPSTREAMS_A_DAEMON)) $announce
	done
	wait_until_all_report 'lwm_instances{scope="all"}' "$daemons" &&
		wait_until_all_report lwm_gossip_upstreams $((daemons * UPSTREAMS_A_DAEMON)) &&
		wait_until_all_report lwm_config_number 1
}

# Prints a metric line and appends it to the results file.
emit() { # DAEMONS ZONES METRIC VALUE TARGET
	echo "experiment=slopes daemons=$1 zones=$2 metric=$3 value=$4 target=$5"
	printf '%s\t%s\t%s\t%s\t%s\n' "$1" "$2" "$3" "$4" "$5" >>"$out"
}

# Prints the mean and the largest rate per daemon of the matching samples between
# two scrapes.
rates() { # SAMPLE-PATTERN SCALE
	awk -v p="$1" -v scale="$2" -v s="$elapsed_s" '
		$2 !~ p { next }
		FNR == NR { before[$1] += $3; next }
		{ after[$1] += $3 }
		END {
			for (a in after) {
				r = (after[a] - before[a]) / s * scale
				sum += r; n++
				if (r > most) most = r
			}
			printf "%.2f %.2f", n ? sum / n : 0, most
		}' "$folder/before" "$folder/after"
}

emit_rate() { # DAEMONS ZONES METRIC PATTERN SCALE TARGET
	read -r mean most < <(rates "$4" "$5")
	emit "$1" "$2" "$3" "$mean" "$6"
	emit "$1" "$2" "$3_most" "$most" "$6"
}

measure_rates() { # DAEMONS ZONES
	local kind since
	scrape >"$folder/before"
	since=$(date +%s.%N)
	sleep "$MEASURE_S"
	scrape >"$folder/after"
	elapsed_s=$(echo "$(date +%s.%N) $since" | awk '{print $1 - $2}')
	emit_rate "$1" "$2" sent_bytes_s '^lwm_gossip_sent_bytes_total' 1 2000
	emit_rate "$1" "$2" received_bytes_s '^lwm_gossip_received_bytes_total' 1 -
	emit_rate "$1" "$2" sent_messages_s '^lwm_gossip_sent_messages_total' 1 -
	for kind in probe delta sync zones; do
		emit_rate "$1" "$2" "sent_bytes_s_$kind" \
			"^lwm_gossip_sent_bytes_total.kind=\"$kind\"" 1 -
	done
	emit_rate "$1" "$2" gossip_cpu_percent '^lwm_gossip_cpu_seconds' 100 1.9
	emit_rate "$1" "$2" process_cpu_percent '^process_cpu_seconds_total' 100 -
	emit "$1" "$2" resident_mb "$(awk '$2 == "process_resident_memory_bytes" {
		n++; s += $3 } END { printf "%.2f", s / n / 1e6 }' "$folder/after")" 128
}

measure_change() { # DAEMONS ZONES
	local since now
	write_config "$2" 2
	since=$(date +%s%N)
	wait_until_all_report lwm_config_number 2 || return 1
	now=$(date +%s%N)
	emit "$1" "$2" change_in_force_ms $(((now - since) / 1000000)) 12000
}

read_join_bytes() {
	scrape | awk '$2 ~ /^lwm_gossip_sent_bytes_total.kind="join"/ {s += $3}
		END {printf "%d", s}'
}

measure_restart() { # DAEMONS ZONES
	local before last=${addresses[-1]} flags
	mapfile -d '' flags <"/proc/${pids[-2]}/cmdline"
	kill "${pids[-2]}"
	wait "${pids[-2]}" 2>/dev/null
	before=$(read_join_bytes)
	start_process again lwm-entryd "${flags[@]:1}"
	wait_until_all_report lwm_config_number 2 || return 1
	emit "$1" "$2" join_bytes $(($(read_join_bytes) - before)) -
	addresses[-1]=$last
}

read_owners_bytes() {
	scrape | awk '$2 ~ /^lwm_gossip_sent_bytes_total.kind="owners"/ {s += $3}
		END {printf "%d", s}'
}

# Measures the gossip bytes of ownership records per stream, with streams at the
# rate of one daemon in a deployment of the design size.
measure_owners() {
	local i before
	write_config 1 1
	for i in 1 2 3; do
		next_address
		addresses+=("$REPLY")
		next_address
		start_process "o$i" lwm-entryd --instance "o$i" --zone z1 \
			--listen "${addresses[-1]}" --gossip-listen "$REPLY" \
			$([ "$i" -gt 1 ] && echo --gossip-peer "$ip:$((port - 3))") \
			--config-folder "$folder/config" --log-level warn
	done
	next_address
	start_process engine lwm-upstream --upstream u1 --kind engine --service engines \
		--zone z1 --listen "$REPLY" --announce-to "${addresses[0]}" \
		--time-scale-percent 20 --log-level warn
	wait_until_all_report 'lwm_instances{scope="all"}' 3 &&
		wait_until_all_report lwm_gossip_upstreams 1 || return 1
	before=$(read_owners_bytes)
	for i in $(seq "$STREAMS"); do
		curl -fs -o /dev/null --max-time 10 "http://${addresses[0]}/v1/completions" \
			-d "{\"prompt\":\"p$i\",\"customer\":\"c\",\"max_tokens\":20}" &
		sleep 0.055
	done
	sleep 2
	emit 3 1 owners_bytes_a_stream \
		"$(echo "$(read_owners_bytes) $before $STREAMS" |
			awk '{printf "%.2f", ($1 - $2) / $3}')" -
}

sum_cpu_s() {
	scrape | awk '$2 == "process_cpu_seconds_total" {s += $3} END {print s}'
}

# Measures the tokens that an entry daemon streams per second of processor time.
measure_tokens() {
	local i engine before streams=()
	write_config 1 1
	next_address
	addresses=("$REPLY")
	start_process t1 lwm-entryd --instance t1 --zone z1 --listen "$REPLY" \
		--config-folder "$folder/config" --log-level warn
	for i in 1 2; do
		next_address
		start_process "engine$i" lwm-upstream --upstream "u$i" --kind engine \
			--service engines --zone z1 --listen "$REPLY" \
			--announce-to "${addresses[0]}" --time-scale-percent 10 --log-level warn
	done
	wait_until_all_report lwm_gossip_upstreams 2 || return 1
	before=$(sum_cpu_s)
	for i in $(seq 32); do
		curl -fs --max-time 30 "http://${addresses[0]}/v1/completions" \
			-d "{\"prompt\":\"p$i\",\"customer\":\"c\",\"max_tokens\":1500,\"stream\":true}" \
			>"$folder/stream$i" &
		streams+=($!)
	done
	wait "${streams[@]}"
	emit 1 1 tokens_a_core_s "$(cat "$folder"/stream[0-9]* |
		grep -c '"text"\|"token"' | awk -v after="$(sum_cpu_s)" -v before="$before" \
		'{printf "%.0f", $1 / (after - before)}')" -
}

read_control_bytes() {
	scrape | awk '$2 ~ /^lwm_control_bytes_total/ {s += $3} END {printf "%d", s}'
}

# Measures processor time, bytes and memory of an idle control replica.
measure_control() {
	local i members=() cpu bytes
	for i in 1 2 3; do
		next_address
		members+=(--member "c$i=$REPLY")
	done
	for i in 1 2 3; do
		next_address
		addresses+=("$REPLY")
		mkdir -p "$folder/c$i"
		start_process "c$i" lwm-controld --instance "c$i" --zone z1 --listen "$REPLY" \
			--control-listen "${members[$((2 * i - 1))]#*=}" \
			--data-folder "$folder/c$i" "${members[@]}" --log-level warn
	done
	sleep 3
	cpu=$(sum_cpu_s) bytes=$(read_control_bytes)
	sleep 5
	emit 3 1 control_cpu_percent "$(echo "$(sum_cpu_s) $cpu" |
		awk '{printf "%.2f", ($1 - $2) / 5 / 3 * 100}')" -
	emit 3 1 control_bytes_s "$(echo "$(read_control_bytes) $bytes" |
		awk '{printf "%.0f", ($1 - $2) / 5 / 3}')" -
	emit 3 1 control_resident_mb "$(scrape | awk '
		$2 == "process_resident_memory_bytes" {s += $3}
		END {printf "%.2f", s / 3 / 1e6}')" 128
}

mkdir -p bench-out
printf 'daemons\tzones\tmetric\tvalue\ttarget\n' >"$out"
status=0
for layout in $LAYOUTS; do
	daemons=${layout%:*} zones=${layout#*:}
	if start_deployment "$daemons" "$zones"; then
		sleep "$SETTLE_S"
		measure_rates "$daemons" "$zones"
		measure_change "$daemons" "$zones" || status=1
		measure_restart "$daemons" "$zones" || status=1
	else
		status=1
	fi
	stop_all
done
measure_owners || status=1
stop_all
measure_tokens || status=1
stop_all
measure_control || status=1
exit $status
