#!/usr/bin/env bash
# Runs clang-tidy over the sources: all of them, the given files, or with --changed those that differ from main.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
if [ "${1:-}" = --changed ]; then
    mapfile -t files < <({ git diff --name-only --diff-filter=d main -- '*.cpp'; git ls-files -o --exclude-standard '*.cpp'; } | sort -u)
elif [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp' | grep -v '\.pb\.')
fi
[ ${#files[@]} -gt 0 ] || exit 0
printf '%s\n' "${files[@]}" | xargs -r -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2 || true)
