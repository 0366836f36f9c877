#!/bin/bash
# Compares the placement policies in experiments on both example deployments;
# see docs/design/60-placement.md. Prints lines
#   experiment=NAME policy=NAME metric=NAME value=NUMBER target=TARGET
# where a target is "<=x", ">=x" or "-". Takes under 8 minutes; not for CI.
# usage: t/bench.sh [steady|slowdown|crest|fairness|overhead ...]
# Without arguments, runs all experiments. Exits with 2 for an unknown experiment;
# a missed target does not change the exit status.
cd "$(dirname "$0")/.." || exit 1
DEPLOY_SCALE=${DEPLOY_SCALE:-40}
# An engine prefills 2048 tokens in a step of 12 ms + 51.2 ms + 0.2 ms for each
# stream after the first: 29,500 tokens/s while it decodes 28 streams.
DEPLOY_ENGINE_FLAGS="--prefill-tokens-s 40000 --step-us 12000 --announce-ms 200 --load-lag-ms 100"
ENGINE_TOKENS_S=29500
CREST_S=18
. t/lib-deploy.sh
POLICIES=${POLICIES:-random round-robin least-outstanding two-choices predicted}
work=$(mktemp -d)
# A subshell that is killed before it ends runs the trap too, so only the main
# shell cleans up.
trap '[ "$BASHPID" = $$ ] && { deploy_stop; rm -rf "$work"; }' EXIT

# Copies the example's configuration with its times scaled to the engines' time
# scale, and prints the copy's path relative to examples/.
scale_example() { # EXAMPLE
	mkdir -p "$work/$1"
	rm -f "$work/$1"/*
	cp "examples/$1"/* "$work/$1"
	[ ! -d "$work/more" ] || cp "$work/more"/* "$work/$1"
	awk -v scale="$DEPLOY_SCALE" '
		match($0, /(first_token_ms|deadline_ms): /) {
			head = substr($0, 1, RSTART + RLENGTH - 1)
			print head int(substr($0, RSTART + RLENGTH) * scale / 100)
			next
		}
		{ print }' "examples/$1/10-places.yaml" >"$work/$1/10-places.yaml"
	realpath --relative-to=examples "$work/$1"
}

# Derives a scenario from the demo's: applies a sed script and appends phases.
make_scenario() { # NAME EXAMPLE SED-SCRIPT [PHASES-FILE]
	sed -E "$3" "demo/$2.yaml" >"$work/$1.yaml"
	[ -z "$4" ] || cat "$4" >>"$work/$1.yaml"
}

# Sends the load of a scenario to a new deployment. Writes the records to
# $work/EXPERIMENT-POLICY.tsv and the metric lines to the .txt file beside it.
# run_load EXPERIMENT EXAMPLE POLICY SCENARIO RATE DURATION_MS
run_load() {
	local targets= address
	deploy_start "$(scale_example "$2")" 2 --policy "$3" || return 1
	sleep 0.6
	for address in $DEPLOY_ENTRIES; do targets="$targets --target $address"; done
	"$BUILD/lwm-load" --scenario "$work/$4.yaml" $targets --rate "$5" \
		--duration-ms "$6" --time-scale-percent "$DEPLOY_SCALE" --format metrics \
		--records "$work/$1-$3.tsv" >"$work/$1-$3.txt"
	leaked_tokens=$(deploy_inspect_sum leaked_tokens)
	double_runs=$(deploy_inspect_sum double_runs)
	cpu_s=$(sum_metric process_cpu_seconds_total)
	sends=$(sum_metric lwm_sends_total)
	deploy_stop
}

# Prints the sum of a metric over all entry instances and label sets.
sum_metric() { # NAME
	deploy_counters "$1" | awk '{n += $NF} END {print n + 0}'
}

# Prints one metric line.
print_metric() { # EXPERIMENT POLICY METRIC VALUE TARGET
	echo "experiment=$1 policy=$2 metric=$3 value=$4 target=$5"
}

# Prints the value of a metric that lwm-load wrote.
read_metric() { # EXPERIMENT POLICY NAME
	sed -n "s/^metric=$3 value=//p" "$work/$1-$2.txt"
}

# Prints the sum of a count over all classes and calls.
sum_count() { # EXPERIMENT POLICY COUNT
	sed -n "s/^metric=[^ ]*\.$3 value=//p" "$work/$1-$2.txt" |
		awk '{n += $1} END {print n + 0}'
}

# Prints the metrics that several experiments share.
print_common_metrics() { # EXPERIMENT POLICY
	print_metric "$1" "$2" lost "$(sum_count "$1" "$2" lost)" "<=0"
	print_metric "$1" "$2" wrong "$(sum_count "$1" "$2" wrong)" "<=0"
	print_metric "$1" "$2" double_runs "$double_runs" "<=0"
	print_metric "$1" "$2" leaked_tokens "$leaked_tokens" "<=0"
	print_metric "$1" "$2" sends_a_request "$(awk -v s="$sends" -v n="$(sum_count "$1" "$2" sent)" \
		-v r="$(sum_count "$1" "$2" refused)" 'BEGIN { printf "%.3f\n", s / (n - r) }')" "<=1.1"
}

# Writes a copy of a scenario with only its first class of prompts.
keep_first_class() { # FROM TO
	awk '/^classes:/ { inside = 1 } /^customers:/ { inside = 0 }
		inside && /- name:/ { n++ } !(inside && n > 1) { print }' \
		"$work/$1.yaml" | sed -E '/^    class: /d' >"$work/$2.yaml"
}

# Plots the records of an experiment, one series per policy.
draw_plots() { # EXPERIMENT POLICY...
	local folder=$BUILD/bench/$1 policy files= experiment=$1
	shift
	mkdir -p "$folder"
	for policy in "$@"; do
		files="$files $policy=$work/$experiment-$policy.tsv"
	done
	"$BUILD/lacewingmast" report --output "$folder" $files &&
		(cd "$folder" && gnuplot report.gp 2>/dev/null) &&
		echo "plots in $folder" >&2
}

# Prints the highest rate of a mix that the engines' prefill throughput allows,
# in prompts per second.
capacity() { # SCENARIO
	awk -v engines=$((3 * DEPLOY_ENGINES)) -v per_s=$ENGINE_TOKENS_S '
		/^customers:/ { exit }
		/share:/ { share = $2 }
		/min_tokens:/ { low = $2 }
		/max_tokens:/ && low > 0 {
			sum += share * ($2 - low) / log($2 / low)
			shares += share
			low = 0
		}
		END { printf "%.2f\n", engines * per_s / (sum / shares) }' "$work/$1.yaml"
}

multiply() { # RATE FACTOR
	awk -v a="$1" -v b="$2" 'BEGIN { printf "%.3f\n", a * b }'
}

# Runs the whole mix at 70 % of capacity and compares the time to first token.
steady() { # EXAMPLE SHORT-CLASS POLICY...
	local example=$1 short=$2 policy best= value rate
	shift 2
	make_scenario steady "$example" ''
	rate=$(multiply "$(capacity steady)" 0.7)
	print_metric "steady-$example" all prompts_s "$rate" -
	print_metric "steady-$example" all time_scale_percent "$DEPLOY_SCALE" -
	for policy in "$@"; do
		run_load "steady-$example" "$example" "$policy" steady "$rate" 20000 || return
		value=$(read_metric "steady-$example" "$policy" "$short.first_token_p95_ms")
		if [ "$policy" = predicted ]; then
			print_metric "steady-$example" "$policy" first_token_p95_ms "$value" "<=1100"
			[ -z "$best" ] || print_metric "steady-$example" "$policy" first_token_p95_ms \
				"$value" "<=$(multiply "$best" 0.5)"
		else
			print_metric "steady-$example" "$policy" first_token_p95_ms "$value" -
			best=$(printf '%s\n' $best "$value" | sort -g | head -n 1)
		fi
		print_metric "steady-$example" "$policy" token_gap_p95_ms \
			"$(read_metric "steady-$example" "$policy" all.gap_p95_ms)" \
			"$([ "$policy" = predicted ] && echo '<=70' || echo -)"
		print_metric "steady-$example" "$policy" overdue \
			"$(sum_count "steady-$example" "$policy" overdue)" -
		print_common_metrics "steady-$example" "$policy"
	done
	draw_plots "steady-$example" "$@"
}

# Compares the time to first token of the same short prompts sent alone and
# together with long ones.
slowdown() { # EXAMPLE SHORT-CLASS POLICY...
	local example=$1 short=$2 policy alone_p95_ms mixed_p95_ms mix_rate short_share
	shift 2
	make_scenario mix "$example" ''
	mix_rate=$(multiply "$(capacity mix)" 0.7)
	keep_first_class mix alone
	short_share=$(awk '/^customers:/ { exit } /share:/ { n++; sum += $2; if (n == 1) first = $2 }
		END { print first / sum }' "$work/mix.yaml")
	for policy in "$@"; do
		run_load "alone-$example" "$example" "$policy" alone "$(multiply "$mix_rate" "$short_share")" 20000 || return
		run_load "beside-$example" "$example" "$policy" mix "$mix_rate" 20000 || return
		alone_p95_ms=$(read_metric "alone-$example" "$policy" "$short.first_token_p95_ms")
		mixed_p95_ms=$(read_metric "beside-$example" "$policy" "$short.first_token_p95_ms")
		print_metric "slowdown-$example" "$policy" short_alone_p95_ms "$alone_p95_ms" -
		print_metric "slowdown-$example" "$policy" short_beside_p95_ms "$mixed_p95_ms" -
		print_metric "slowdown-$example" "$policy" short_slowdown_p95 \
			"$(awk -v a="$alone_p95_ms" -v b="$mixed_p95_ms" 'BEGIN { printf "%.2f\n", b / a }')" \
			"$([ "$policy" = predicted ] && echo '<=1.15' || echo -)"
	done
}

# Raises demand from half to two and a half times the capacity within 2 s.
crest() { # EXAMPLE POLICY...
	local example=$1 policy rate
	shift
	# At that peak, high-priority customers request three quarters of the capacity.
	make_scenario crest "$example" '/name: (workshop|lagos-rounds|ogun-rounds)$/,/share/ s/share: .*/share: 15/
		/name: (schools|arcades)$/,/share/ s/share: .*/share: 20/
		/name: clubs$/,/share/ s/share: .*/share: 10/
		/name: archive$/,/share/ s/share: .*/share: 5/' t/bench/crest.yaml
	rate=$(capacity crest)
	print_metric "crest-$example" all prompts_s_at_capacity "$rate" -
	for policy in "$@"; do
		run_load "crest-$example" "$example" "$policy" crest "$rate" 0 || return
		awk -F'\t' -v scale="$DEPLOY_SCALE" -v seconds=$CREST_S \
			-v full=$((3 * DEPLOY_ENGINES * ENGINE_TOKENS_S)) \
			-f t/bench/crest.awk "$work/crest-$example-$policy.tsv" |
			while read -r name value target; do
				[ "$policy" = predicted ] || target=-
				print_metric "crest-$example" "$policy" "$name" "$value" "$target"
			done
		print_common_metrics "crest-$example" "$policy"
	done
	draw_plots "crest-$example" "$@"
}

# Compares the shares of three customers with the same priority and weights 1, 2
# and 4. Together they request three times the capacity, in equal parts, with
# short and medium prompts only.
fairness() { # POLICY...
	local policy rate
	make_scenario fair trust '/- name: long$/,/deadline_ms/d; /- name: huge$/,/deadline_ms/d; /^customers:/,$d' \
		t/bench/fair.yaml
	mkdir -p "$work/more"
	cp t/bench/fair-config.yaml "$work/more/90-fair.yaml"
	rate=$(multiply "$(capacity fair)" 3)
	print_metric fairness all prompts_s "$rate" -
	for policy in "$@"; do
		run_load fairness trust "$policy" fair "$rate" 30000 || return
		awk -F'\t' -f t/bench/fair.awk "$work/fairness-$policy.tsv" |
			while read -r name value target; do
				[ "$policy" = predicted ] || target=-
				print_metric fairness "$policy" "$name" "$value" "$target"
			done
	done
	rm -r "$work/more"
}

# Measures processor time and memory of the entry instances. Calls give the added
# latency, since the simulated service answers a call in 5 ms of wall time.
overhead() {
	local requests tokens streams idle busy policy=predicted load_pid targets= address
	make_scenario calls trust '/^model:/,/^customers:/ { /^customers:/!d }; s/calls_per_min: .*/calls_per_min: 2400/'
	run_load overhead-calls trust "$policy" calls 0 10000 || return
	requests=$(sum_count overhead-calls "$policy" ok)
	print_metric overhead "$policy" calls "$requests" -
	for name in p50 p99; do
		print_metric overhead "$policy" "added_${name}_ms" "$(awk -F'\t' -v scale="$DEPLOY_SCALE" \
			'$9 == "ok" { print $15 * scale / 100 - 5 }' "$work/overhead-calls-$policy.tsv" |
			sort -g | awk -v p="${name#p}" '{ v[NR] = $1 }
				END { i = int(NR * p / 100); printf "%.2f\n", v[i < 1 ? 1 : i] }')" -
	done
	print_metric overhead "$policy" requests_per_core_s \
		"$(awk -v n="$requests" -v s="$cpu_s" 'BEGIN { printf "%.0f\n", n / s }')" -
	make_scenario whole trust 's/(min|max)_output_tokens: .*/\1_output_tokens: 400/
		s/ max_tokens: .*/ max_tokens: 1100/; s/deadline_ms: .*/deadline_ms: 120000/
		/^calls:/,$d'
	keep_first_class whole streams
	deploy_start "$(scale_example trust)" 2 --policy "$policy" || return 1
	sleep 0.6
	for address in $DEPLOY_ENTRIES; do targets="$targets --target $address"; done
	idle=$(sum_metric process_resident_memory_bytes)
	"$BUILD/lwm-load" --scenario "$work/streams.yaml" $targets --rate 60 \
		--duration-ms 20000 --time-scale-percent "$DEPLOY_SCALE" --format metrics \
		--records "$work/streams.tsv" >"$work/streams.txt" &
	load_pid=$!
	sleep "$(multiply "$DEPLOY_SCALE" 0.18)"
	busy=$(sum_metric process_resident_memory_bytes)
	streams=$(sum_metric lwm_requests_live)
	wait "$load_pid"
	cpu_s=$(sum_metric process_cpu_seconds_total)
	deploy_stop
	tokens=$(awk -F'\t' '$9 == "ok" { n += $16 } END { print n + 0 }' "$work/streams.tsv")
	print_metric overhead "$policy" streams "$streams" -
	print_metric overhead "$policy" memory_a_stream_bytes \
		"$(awk -v a="$idle" -v b="$busy" -v n="$streams" 'BEGIN { printf "%.0f\n", (b - a) / n }')" -
	print_metric overhead "$policy" tokens_per_core_s \
		"$(awk -v n="$tokens" -v s="$cpu_s" 'BEGIN { printf "%.0f\n", n / s }')" -
}

experiments=${*:-steady slowdown crest fairness overhead}
for experiment in $experiments; do
	case $experiment in
	steady)
		steady trust short $POLICIES
		steady registry counter $POLICIES
		;;
	slowdown) slowdown registry counter least-outstanding predicted ;;
	crest) crest trust ${CREST_POLICIES:-least-outstanding predicted} ;;
	fairness) fairness ${FAIR_POLICIES:-least-outstanding predicted} ;;
	overhead) overhead ;;
	*) echo "bench: unknown experiment '$experiment'" >&2 && exit 2 ;;
	esac
done
