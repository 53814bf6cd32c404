#!/usr/bin/env bash
# Writes the pages that come from the program's own tables: docs/man/*.1 and docs/codes.md. Tests compare them.
set -eu
cd "$(dirname "$0")/.."
program=${BUILD:-build}/bin/clementinegap
mkdir -p docs/man
for command in $("$program" help | sed -n '/^commands:/,/^$/s/^  \([a-z]*\) .*/\1/p'); do
    "$program" manual "$command" >"docs/man/clementinegap-$command.1"
done
"$program" manual codes-page >docs/codes.md
