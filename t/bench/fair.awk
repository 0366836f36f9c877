# Compares each customer's share of the tokens with its weight, over the time in
# which every customer has requests queued.
{ ended_ms = $2 + $15 }
$9 == "ok" && ended_ms >= 8000 && ended_ms < 28000 {
	split($4, name, "-")
	tokens[name[2]] += $5 + $16
	all += $5 + $16
}
$9 == "failed" { failed++ }
END {
	for (weight in tokens) {
		off = 100 * (tokens[weight] / all) / (weight / 7) - 100
		printf "weight_%d_off_percent %.1f -\n", weight, off
		if (off < 0)
			off = -off
		if (off > worst)
			worst = off
	}
	printf "worst_share_off_percent %.1f <=10\n", worst
	printf "admitted_and_failed %d -\n", failed
}
