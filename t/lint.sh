#!/bin/bash
# Checks the formatting of the sources with clang-format and lints them with
# clang-tidy.
# usage: t/lint.sh "CFLAGS" FILE...
# Exits with 1 when either tool reports a problem.
cflags=$1
shift
clang-format --dry-run -Werror "$@" || exit 1
run_tidy() {
	clang-tidy --quiet "$2" -- $1 2>&1 |
		grep -vE 'warnings? generated|^Suppressed|Use -header-filter'
	exit "${PIPESTATUS[0]}"
}
export -f run_tidy
printf '%s\n' "$@" | grep '\.c$' |
	xargs -P"$(nproc)" -I{} bash -c 'run_tidy "$@"' _ "$cflags" {} || exit 1
echo "lint: clean"
