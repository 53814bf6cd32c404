#!/usr/bin/env bash
# Formats the sources in place, or with --check fails when one is not formatted.
set -eu
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
# shellcheck disable=SC2086
git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '\.pb\.' | xargs -r -P "$(nproc)" -n 8 clang-format $mode
