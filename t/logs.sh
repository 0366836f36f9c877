#!/bin/bash
# Checks that docs/LOGS.md lists every log line of the platform programs.
# Exits with 1 when a sentence is missing there.
files="gateway*.c upstream-set.c engine-memory.c exchange.c caller-*.c
	upstream-path.c load-share.c share-link.c zone-placement.c zone-ask.c load-batch.c placer*.c socket-watch.c node-*.c http-connection*.c control-directory.c pause-detector.c platform/*.c"
missing=0
while read -r sentence; do
	grep -qF "$sentence" docs/LOGS.md || {
		echo "logs: not in docs/LOGS.md: $sentence"
		missing=1
	}
done < <(cat $files | tr '\n' ' ' |
	grep -oE 'log_(info|warn|error) \("[^"]*' |
	sed -E 's/.*\("//; s/ [a-z_]+=.*//; s/\\n//' | sed -E "s/\. .*/./" | sort -u)
exit $missing
