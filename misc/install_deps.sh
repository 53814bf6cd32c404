#!/usr/bin/env bash
# Installs the Debian packages of misc/packages.txt that are missing; silent and quick when all are there.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
missing=()
while read -r package; do
    [ -n "$package" ] || continue
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done <"$here/packages.txt"
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq >/dev/null
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
