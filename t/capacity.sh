#!/bin/bash
# Computes the tables of docs/CAPACITY.md from bench-out/slopes.tsv: fits straight
# lines to the measurements of t/slopes.sh and evaluates them at the design size.
# Replaces the text between the page's markers.
# usage: t/capacity.sh [SLOPES-TSV] [PAGE]
# Exits with 1 when the measurements cannot be read.
tsv=${1:-bench-out/slopes.tsv}
page=${2:-docs/CAPACITY.md}
[ -r "$tsv" ] || {
	echo "capacity: cannot read '$tsv': run 'make slopes' first" >&2
	exit 1
}
tables=$(mktemp)
trap 'rm -f "$tables"' EXIT

awk -F'\t' '
BEGIN {
	daemons = 410; zones = 19; requests_s = 6800; changes_day = 940
	tokens_s = 2200000; config_bytes = 20480
	members = daemons / zones; streams_s = requests_s / daemons
}
NR > 1 { v[$1 ":" $2, $3] = $4; seen[$3] = 1 }
NR > 1 && $2 == 3 { size[$1] = $1 / $2 }
# Fits a line by least squares to the layouts of three zones; sets slope and base.
function fit(metric,   d, n, x, y, sx, sy, sxx, sxy) {
	n = sx = sy = sxx = sxy = 0
	for (d in size) {
		if (!((d ":3", metric) in v)) continue
		x = size[d]; y = v[d ":3", metric]
		n++; sx += x; sy += y; sxx += x * x; sxy += x * y
	}
	slope = base = 0
	if (n > 1) {
		slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
		base = (sy - slope * sx) / n
	}
}
# Returns the increase per additional zone, from two layouts with zones of the
# same size.
function per_zone(metric) {
	if (!(("57:19", metric) in v) || !(("9:3", metric) in v)) return 0
	return (v["57:19", metric] - v["9:3", metric]) / 16
}
# Prints one row of the table. With records set, the increase per zone is
# proportional to the number of its records; the zones of the layouts that
# per_zone compares have 3 members each.
function row(name, metric, budget, records,   zone, estimate) {
	fit(metric); zone = per_zone(metric)
	if (records) zone *= members / 3
	estimate = base + slope * members + zone * (zones - 3)
	total[metric] = estimate
	printf "| %s | %.2f | %.2f | %.2f | **%.2f** | %s |\n", \
		name, base, slope, zone, estimate, budget
}
END {
	print "Measured, mean a daemon unless it says most:\n"
	print "| daemons | zones | sent bytes/s | most | sent messages/s | gossip CPU % | most | all CPU % | resident MB | change in force ms | restart bytes |"
	print "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
	split("9:3 30:3 60:3 120:3 57:19", layouts, " ")
	for (i = 1; i <= 5; i++) {
		l = layouts[i]; split(l, part, ":")
		if (!((l, "sent_bytes_s") in v)) continue
		printf "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", \
			part[1], part[2], v[l, "sent_bytes_s"], v[l, "sent_bytes_s_most"], \
			v[l, "sent_messages_s"], v[l, "gossip_cpu_percent"], \
			v[l, "gossip_cpu_percent_most"], v[l, "process_cpu_percent"], \
			v[l, "resident_mb"], v[l, "change_in_force_ms"], v[l, "join_bytes"]
	}
	printf "\nAt %d daemons in %d zones (%.1f a zone): base + slope a member of the zone + slope a zone beyond three (for processor time, memory and restarts scaled to a zone of that size by its records):\n\n", daemons, zones, members
	print "| what | base | a member | a zone | at that size | budget |"
	print "| --- | --- | --- | --- | --- | --- |"
	row("gossip sent, bytes/s", "sent_bytes_s", "")
	row("the same, busiest daemon (a delegate)", "sent_bytes_s_most", "")
	row("gossip sent, messages/s", "sent_messages_s", "")
	row("gossip received, bytes/s", "received_bytes_s", "")
	row("gossip on the loop, % of a core", "gossip_cpu_percent", "1.9", 1)
	row("the same, busiest daemon", "gossip_cpu_percent_most", "1.9", 1)
	row("whole process without requests, % of a core", "process_cpu_percent", "", 1)
	row("resident, MB", "resident_mb", "128", 1)
	row("change in force, ms", "change_in_force_ms", "12000")
	row("restart of one instance, bytes", "join_bytes", "", 1)
	owners = v["3:1", "owners_bytes_a_stream"] * streams_s
	config = config_bytes * changes_day / 86400
	print "\nBytes a second that a daemon sends for control, put together:\n"
	print "| part | worked out from | bytes/s |"
	print "| --- | --- | --- |"
	printf "| gossip | above | %.0f |\n", total["sent_bytes_s"]
	printf "| ownership records | %.1f bytes a stream, %.1f streams/s a daemon | %.0f |\n", \
		v["3:1", "owners_bytes_a_stream"], streams_s, owners
	printf "| configuration | %d changes a day of %d KB, sent on once | %.0f |\n", \
		changes_day, config_bytes / 1024, config
	printf "| **a daemon** | budget 2000 | **%.0f** |\n", \
		total["sent_bytes_s"] + owners + config
	printf "| **a delegate** | budget 2000 | **%.0f** |\n", \
		total["sent_bytes_s_most"] + owners + config
	if (("1:1", "tokens_a_core_s") in v) {
		t = v["1:1", "tokens_a_core_s"]
		print "\nThe request path, which is not control:\n"
		print "| what | value |"
		print "| --- | --- |"
		printf "| tokens/s that one core streams, measured | %.0f |\n", t
		printf "| tokens/s a daemon at %d tokens/s over %d daemons | %.0f |\n", \
			tokens_s, daemons, tokens_s / daemons
		printf "| share of its core | %.0f%% |\n", tokens_s / daemons / t * 100
		printf "| the same with one zone of %d lost | %.0f%% |\n", zones, \
			tokens_s / (daemons - members) / t * 100
	}
	if (("3:1", "control_cpu_percent") in v) {
		print "\nA control replica (three of them):\n"
		print "| what | value |"
		print "| --- | --- |"
		printf "| idle, %% of a core | %s |\n", v["3:1", "control_cpu_percent"]
		printf "| idle, bytes/s sent and received | %s |\n", v["3:1", "control_bytes_s"]
		printf "| resident, MB | %s |\n", v["3:1", "control_resident_mb"]
	}
}' "$tsv" >"$tables"

awk -v tables="$tables" '
	/^<!-- slopes end -->/ { skip = 0 }
	!skip { print }
	/^<!-- slopes -->/ { skip = 1; while ((getline line < tables) > 0) print line }
' "$page" >"$page.new" && mv "$page.new" "$page"
