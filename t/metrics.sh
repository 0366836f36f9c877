#!/bin/bash
# Prints docs/METRICS.md: every metric that the daemons export, with its help
# line, read from running daemons.
# usage: t/metrics.sh >docs/METRICS.md
# Exits with 1 when the daemons do not start.
cd "$(dirname "$0")/.." || exit 1
DEPLOY_ENGINES=1
. t/lib-deploy.sh
trap '[ "$BASHPID" = $$ ] && deploy_stop' EXIT
deploy_start trust 1 >&2 || exit 1

print_table() { # ADDRESS
	echo "| sample | kind | what it is | labels |"
	echo "| --- | --- | --- | --- |"
	curl -fs "http://$1/metrics" | awk '
		$1 == "#" && $2 == "HELP" { name = $3; $1 = $2 = $3 = ""; sub(/^ +/, ""); help[name] = $0; order[++n] = name; next }
		$1 == "#" && $2 == "TYPE" { kind[$3] = $4; next }
		{
			split($1, part, "{")
			if (part[2] == "") next
			line = part[2]
			while (match(line, /[a-z_]+="/)) {
				key = substr(line, RSTART, RLENGTH - 2)
				if (index(" " labels[part[1]] " ", " " key " ") == 0)
					labels[part[1]] = labels[part[1]] (labels[part[1]] == "" ? "" : " ") key
				line = substr(line, RSTART + RLENGTH)
			}
		}
		END { for (i = 1; i <= n; i++) print "| `" order[i] "` | " kind[order[i]] " | " help[order[i]] " | " labels[order[i]] " |" }'
}

cat <<'END'
# Metrics

Each daemon serves its own counters and gauges at `/metrics`, in the Prometheus
text format. A name that ends in `_total` only rises; `_bytes`, `_ms`, `_seconds`
and `_tokens` are units, and a name without one is a count. `t/metrics.sh` made
this page from running daemons. operators/alarms.md lists those that need an
operator's attention.

## lwm-entryd

END
set -- $DEPLOY_ENTRIES
print_table "$1"
echo
echo "## lwm-controld"
echo
print_table "$(tr '\0' '\n' <"/proc/${deploy_pids[0]}/cmdline" | sed -n '/^--listen$/{n;p}')"
