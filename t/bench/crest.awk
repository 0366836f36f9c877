# Prints the metrics of the crest experiment from a records file. Demand is at its
# peak from 12 s to 30 s.
$5 == "prompt_tokens" || $5 == 0 { next }
{ ended_ms = $2 + $15 }
$18 == 1 && ended_ms >= 12000 && ended_ms < 30000 { tokens += $5 + $16 }
# The backlog of the peak keeps the engines busy until about 60 s.
$18 == 1 && ended_ms >= 12000 && ended_ms < 50000 { backlog_tokens += $5 + $16 }
($4 == "workshop" || $4 == "lagos-rounds") && $5 <= 32000 { high++; high_ok += $18 }
$9 == "refused" {
	refused++
	wall_ms = $15 * scale / 100
	if (wall_ms > slowest_ms)
		slowest_ms = wall_ms
}
$9 == "failed" { failed++ }
$5 > 32000 { long++; long_ok += $18 }
END {
	printf "goodput_percent %.1f >=90\n", 100 * tokens / seconds / full
	printf "goodput_to_50_s_percent %.1f -\n", 100 * backlog_tokens / 38 / full
	printf "high_priority_in_time_percent %.2f >=99\n", 100 * high_ok / high
	printf "refused %d -\n", refused
	printf "slowest_refusal_ms %.0f <=50\n", slowest_ms
	printf "admitted_and_failed %d -\n", failed
	printf "long_in_time_percent %.1f >=100\n", 100 * long_ok / long
}
