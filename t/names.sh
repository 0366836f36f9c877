#!/bin/bash
# Checks that only platform/ and its tests use the platform's names.
names='"Request-Id"|"Deadline-Ms|Token-Count|Expect-Instance|Server-Stamp'
names+='|"Not-Run"|At-Server|"Tenant"|Prefix-Hash|Request-Priority'
names+='|path-prefix|kv-capacity|api-keys|/config/put|/config/get|/heartbeat'
names+='|LACEWINGMAST_NODE_FILE|tenant|back end|backend'
found=$(grep -nE "$names" *.c *.h builtin/*.[ch] proto/*.proto fuzz/*.c \
	$(ls t/*.[ch] | grep -vE 't/t8(10|20)0-'))
test -z "$found" || {
	echo "names of the platform outside platform/:"
	echo "$found"
	exit 1
}
