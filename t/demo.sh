#!/bin/bash
# Runs the demo: starts a deployment of three availability zones on this machine
# and sends it one minute of mixed prompts. README.md explains the output.
# usage: [EXAMPLE=trust] [SCENARIO=FILE] t/demo.sh
# Exits with 0 when lwm-load succeeded, no request ran twice, no engine memory
# is held or leaked and no process crashed, else with 1.
cd "$(dirname "$0")/.." || exit 1
EXAMPLE=${EXAMPLE:-trust}
SCENARIO=${SCENARIO:-demo/$EXAMPLE.yaml}
. t/lib-deploy.sh
trap deploy_stop EXIT

echo "starting 3 zones with 2 entry instances, 1 control instance, $DEPLOY_ENGINES engines and 1 service each"
deploy_start "$EXAMPLE" 2 || exit 1

targets=
for address in $DEPLOY_ENTRIES; do
	targets="$targets --target $address"
done
records=$DEPLOY_FOLDER/records.tsv
"$BUILD/lwm-load" --scenario "$SCENARIO" --records "$records" \
	--log-level error $targets || exit 1

# Streams whose caller disconnected are cancelled shortly afterwards; waits up to
# about 10 s for the last one.
for tries in $(seq 100); do
	held=$(deploy_inspect_sum held_tokens)
	[ "$held" -eq 0 ] && break
	sleep 0.1
done
echo
echo "refusals and retries, by reason:"
deploy_counters 'lwm_refusals_total\|^lwm_retries_total' | sed 's/^/  /'
double_runs=$(deploy_inspect_sum double_runs)
leaked=$(deploy_inspect_sum leaked_tokens)
echo
echo "doubles: $double_runs (must be 0)"
echo "engine memory still held, tokens: $held (must be 0)"
echo "leaked engine memory, tokens: $leaked (must be 0)"
deploy_stop
[ "$double_runs" -eq 0 ] && [ "$leaked" -eq 0 ] && [ "$held" -eq 0 ] && [ -z "$DEPLOY_CRASHED" ]
