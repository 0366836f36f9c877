#!/bin/bash
# Checks that the platform's names occur only in platform/ and its tests.
# Exits with 1 and prints the lines when they occur elsewhere.
names='"Request-Id"|"Deadline-Ms|Token-Count|Expect-Instance|Server-Stamp'
names+='|"Not-Run"|At-Server|"Tenant"|Prefix-Hash|Request-Priority'
names+='|path-prefix|kv-capacity|api-keys|/config/put|/config/get|/heartbeat|/evacuate'
names+='|LACEWINGMAST_NODE_FILE|tenant|back end|backend'
found=$(grep -nE "$names" *.c *.h builtin/*.[ch] proto/*.proto fuzz/*.c \
	$(ls t/*.[ch] | grep -vE 't/(t8(100|101|200)-|lib-nodes\.)'))
test -z "$found" || {
	echo "platform names used outside platform/:"
	echo "$found"
	exit 1
}
