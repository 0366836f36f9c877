#!/bin/sh
# Builds the programs of the review's scripts into review/bin/.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.c; do
	case=$(dirname "$source")
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Wno-unused-parameter \
		-o "bin/case-$case" "$source" lib/harness.c -Ilib -pthread
done
