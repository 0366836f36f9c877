#!/bin/sh
# Checks that the committed generated code matches the output of protoc-c for
# proto/. Exits with 1 when it differs, and with 0 when protoc-c is missing.
command -v protoc-c >/dev/null || {
	echo "check-generated: protoc-c not found, skipped"
	exit 0
}
out=$(mktemp -d) || exit 1
trap 'rm -rf "$out"' EXIT
protoc-c --proto_path=proto --c_out="$out" $(cd proto && ls *.proto) || exit 1
diff -r "$out" generated || {
	echo "check-generated: generated code is out of date, run 'make generate'"
	exit 1
}
