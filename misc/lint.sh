#!/usr/bin/env bash
# Runs clang-tidy over the sources; takes files as arguments, or all of them.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files '*.cpp' | grep -v '\.pb\.')
printf '%s\n' "${files[@]}" | xargs -r -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2 || true)
