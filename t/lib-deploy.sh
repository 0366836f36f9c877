# Shell functions that start a deployment of real processes on loopback, for
# the demo and the benchmarks. Source it; call deploy_stop in an EXIT trap.
#
#   deploy_start EXAMPLE ENTRIES_PER_ZONE [entry flags...]
#   DEPLOY_ENTRIES, DEPLOY_UPSTREAMS   addresses, separated by spaces
#   DEPLOY_SCALE                       engines' time scale, percent
#   DEPLOY_CONTROL                     number of control instances; with 0, each
#                                      entry instance reads the configuration
#                                      folder itself

BUILD=${BUILD:-build}
DEPLOY_SCALE=${DEPLOY_SCALE:-20}
DEPLOY_ENGINES=${DEPLOY_ENGINES:-5}
DEPLOY_ENGINE_FLAGS=${DEPLOY_ENGINE_FLAGS:-}
DEPLOY_SEED=${DEPLOY_SEED:-1}
DEPLOY_CONTROL=${DEPLOY_CONTROL:-3}
deploy_pids=()
deploy_ip=127.$((64 + ($$ >> 16) % 64)).$((($$ >> 8) % 256)).$((1 + $$ % 254))
deploy_port=21000

# Sets REPLY to the next free address. Must not be called in a subshell, where the
# increment of deploy_port would be lost.
deploy_address() {
	REPLY=$deploy_ip:$deploy_port
	deploy_port=$((deploy_port + 1))
}

# Starts a program in the background with its output in the deployment folder.
# deploy_run LOGNAME PROGRAM FLAG...
deploy_run() {
	local log=$1 program=$2
	shift 2
	"$BUILD/$program" "$@" >"$DEPLOY_FOLDER/$log.out" 2>"$DEPLOY_FOLDER/$log.log" &
	deploy_pids+=($!)
}

# Waits until the health check of an instance or upstream succeeds.
deploy_wait_ready() { # ADDRESS
	local tries
	for tries in $(seq 200); do
		curl -fs -o /dev/null --max-time 1 "http://$1/healthz" && return 0
		sleep 0.05
	done
	echo "deploy: '$1' did not become ready" >&2
	return 1
}

# Prints the names of the example's zones, one per line.
deploy_zones() { # EXAMPLE
	"$BUILD/lacewingmast" check "examples/$1" | sed -n 's/^zone \([^ ]*\) .*/\1/p'
}

deploy_service() { # EXAMPLE KIND
	"$BUILD/lacewingmast" check "examples/$1" |
		sed -n "s/^service \([^ ]*\) kind=$2 .*/\1/p"
}

deploy_model() { # EXAMPLE
	"$BUILD/lacewingmast" check "examples/$1" |
		sed -n 's/^service .* kind=engine model=\([^ ]*\) .*/\1/p'
}

# Starts the control group; sets REPLY to the flags that entry instances need.
deploy_control() { # EXAMPLE
	local addresses=() members= peers= i zones
	read -ra zones <<<"$(deploy_zones "$1" | paste -sd' ')"
	for i in $(seq "$DEPLOY_CONTROL"); do
		deploy_address
		addresses+=("$REPLY")
		members="$members --member control-$i=$REPLY"
		peers="$peers --control-peer $REPLY"
	done
	for i in $(seq "$DEPLOY_CONTROL"); do
		deploy_address
		mkdir -p "$DEPLOY_FOLDER/control-$i"
		deploy_run "control-$i" lwm-controld --instance "control-$i" \
			--zone "${zones[$(((i - 1) % ${#zones[@]}))]}" --listen "$REPLY" \
			--control-listen "${addresses[$((i - 1))]}" --log-level warn \
			--data-folder "$DEPLOY_FOLDER/control-$i" $members
	done
	REPLY=$peers
}

# Retries to apply the example's folder until the control group has a leader and
# accepts it; fails after 20 attempts.
deploy_apply() { # EXAMPLE ENTRY-ADDRESS
	local tries
	for tries in $(seq 20); do
		"$BUILD/lacewingmast" apply --target "$2" "examples/$1" \
			>"$DEPLOY_FOLDER/apply.log" 2>&1 && return 0
		sleep 0.5
	done
	cat "$DEPLOY_FOLDER/apply.log" >&2
	return 1
}

# Starts all processes of a deployment and waits until each of them that serves
# requests is ready. Returns 1 when one does not become ready.
deploy_start() {
	local example=$1 per_zone=$2 zone i announce address peers=
	shift 2
	DEPLOY_FOLDER=$(mktemp -d)
	DEPLOY_ENTRIES= DEPLOY_UPSTREAMS= DEPLOY_ENGINE_ADDRESSES= DEPLOY_SERVICE_ADDRESSES=
	declare -gA deploy_zone_entries=()
	local engine_service plain_service model gossip=()
	engine_service=$(deploy_service "$example" engine)
	plain_service=$(deploy_service "$example" plain)
	model=$(deploy_model "$example")
	local source="--config-folder examples/$example"
	if [ "$DEPLOY_CONTROL" -gt 0 ]; then
		deploy_control "$example"
		source=$REPLY
	fi
	for zone in $(deploy_zones "$example"); do
		deploy_zone_entries[$zone]=
		for i in $(seq "$per_zone"); do
			deploy_address
			address=$REPLY
			deploy_address
			deploy_run "entry-$zone-$i" lwm-entryd --instance "entry-$zone-$i" \
				--zone "$zone" --listen "$address" --gossip-listen "$REPLY" \
				$source --log-level warn $peers "$@"
			peers="$peers --gossip-peer $REPLY"
			deploy_zone_entries[$zone]+=" $address"
			DEPLOY_ENTRIES+=" $address"
		done
	done
	for zone in $(deploy_zones "$example"); do
		announce=
		for address in ${deploy_zone_entries[$zone]}; do
			announce="$announce --announce-to $address"
		done
		for i in $(seq "$DEPLOY_ENGINES"); do
			deploy_address
			deploy_run "engine-$zone-$i" lwm-upstream --upstream "engine-$zone-$i" \
				--kind engine --service "$engine_service" --zone "$zone" \
				--listen "$REPLY" --model "$model" --version v1 \
				--time-scale-percent "$DEPLOY_SCALE" --seed "$((DEPLOY_SEED + i))" \
				--log-level warn $DEPLOY_ENGINE_FLAGS $announce
			DEPLOY_ENGINE_ADDRESSES+=" $REPLY"
		done
		deploy_address
		deploy_run "service-$zone" lwm-upstream --upstream "service-$zone" \
			--kind service --service "$plain_service" --zone "$zone" \
			--listen "$REPLY" --log-level warn $announce
		DEPLOY_SERVICE_ADDRESSES+=" $REPLY"
	done
	DEPLOY_UPSTREAMS="$DEPLOY_ENGINE_ADDRESSES $DEPLOY_SERVICE_ADDRESSES"
	if [ "$DEPLOY_CONTROL" -gt 0 ]; then
		set -- $DEPLOY_ENTRIES
		deploy_apply "$example" "$1" || return 1
	fi
	for address in $DEPLOY_ENTRIES $DEPLOY_UPSTREAMS; do
		deploy_wait_ready "$address" || return 1
	done
}

# Prints the sum of a numeric JSON member of /v1/inspect over all upstreams.
deploy_inspect_sum() { # MEMBER
	local address
	for address in $DEPLOY_UPSTREAMS; do
		curl -fs --max-time 5 "http://$address/v1/inspect" |
			grep -o "\"$1\":[0-9]*" | cut -d: -f2
	done | awk '{n += $1} END {print n + 0}'
}

# Prints the sum of a counter over all entry instances, one line per label set.
deploy_counters() { # NAME
	local address
	for address in $DEPLOY_ENTRIES; do
		curl -fs --max-time 5 "http://$address/metrics" | grep "^$1"
	done | awk '{n[$1] += $2} END {for (k in n) if (n[k] > 0) print k, n[k]}' | sort
}

# Terminates all processes, waits for them up to 10 s, then kills the rest. Uses no
# subshells: one that is killed before it ends runs the caller's EXIT trap.
deploy_stop() {
	local pid tries code
	for pid in "${deploy_pids[@]}"; do
		kill "$pid" 2>/dev/null
	done
	for tries in $(seq 100); do
		kill -0 "${deploy_pids[@]}" 2>/dev/null || break
		sleep 0.1
	done
	for pid in "${deploy_pids[@]}"; do
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
		code=$?
		if [ "$code" -ne 0 ] && [ "$code" -ne 137 ]; then
			echo "deploy: process $pid ended with exit code $code" >&2
			DEPLOY_CRASHED=1
		fi
	done
	deploy_pids=()
	[ -z "$DEPLOY_KEEP" ] && rm -rf "$DEPLOY_FOLDER"
	return 0
}
