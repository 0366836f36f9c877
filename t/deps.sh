#!/bin/sh
# Installs those of the given Debian packages that are missing.
# usage: t/deps.sh PACKAGE...
# Exits with 0 when all are installed, else with the status of apt-get.
missing=
for package in "$@"; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
		grep -q '^install ok installed' || missing="$missing $package"
done
test -z "$missing" && exit 0
echo "deps: installing$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq && apt-get install -y -qq --no-install-recommends $missing
