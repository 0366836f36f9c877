#!/bin/bash
# Checks the models exhaustively with spin, and checks that each model reports
# errors when one of its rules is left out.
# usage: BUILD=build model/run.sh
# Exits with 0 when every model gives the expected result, else with 1.
set -o pipefail
out=${BUILD:-build}/model
mkdir -p "$out" || exit 1
root=$PWD
status=0

# Checks one model. EXPECTED-ERRORS is "0" or "some"; -DRULE leaves a rule out.
# check_model MODEL EXPECTED-ERRORS [-DRULE]
check_model() {
	local name=$1 expected=$2 rule=$3
	local folder=$out/$name$rule
	mkdir -p "$folder" && cd "$folder" || exit 1
	spin -a $rule "$root/model/$name.pml" >spin.out 2>&1 &&
		cc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=1500 -o pan pan.c &&
		./pan -m200000 -w26 -E >pan.out 2>&1
	cd "$root" || exit 1
	local errors states
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$folder/pan.out")
	states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$folder/pan.out")
	if grep -qi 'search not completed\|max search depth' "$folder/pan.out" &&
		[ "${errors:-1}" -eq 0 ]; then
		errors="0, not completed"
		status=1
	elif [ "$expected" = 0 ] && [ "${errors:-1}" -ne 0 ]; then
		status=1
	elif [ "$expected" = some ] && [ "${errors:-0}" -eq 0 ]; then
		status=1
	fi
	echo "model=$name rule_left_out=${rule#-D} errors=${errors:-none} states=${states:-none} expected=$expected"
}

check_model control 0
check_model control some -DBREAK_UP_TO_DATE
check_model control some -DBREAK_VOTE
check_model control some -DBREAK_OWN_TERM
check_model control some -DBREAK_REPLACE
check_model orders 0
check_model orders some -DBREAK_WAIT
exit $status
