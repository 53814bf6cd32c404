#!/usr/bin/env bash
# Breaks one safeguard after another in a scratch copy under build/ and shows which test notices. Each file of
# tests/mutations is one small patch. Exits 1 when a patch does not apply or no test notices it.
#   misc/mutation_check.sh [NAME...]
set -eu
cd "$(dirname "$0")/.."
scratch=build/mutations
jobs=${JOBS:-4}
schedules=${SCHEDULES:-3000}
mkdir -p "$scratch"
export CCACHE_BASEDIR=$PWD/$scratch/source CCACHE_NOHASHDIR=1

rm -rf "$scratch/source"
mkdir -p "$scratch/source"
git ls-files -z | xargs -0 cp --parents -t "$scratch/source"
cmake -S "$scratch/source" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
names=("$@")
[ ${#names[@]} -gt 0 ] || for patch in tests/mutations/*.patch; do names+=("$(basename "$patch" .patch)"); done
missed=0
restore() { patch -s -R -p1 -d "$scratch/source" <"tests/mutations/$name.patch"; }
echo "| safeguard that is broken | tests that notice |"
echo "|---|---|"
for name in "${names[@]}"; do
    if ! patch -s -p1 -d "$scratch/source" <"tests/mutations/$name.patch" >/dev/null; then
        echo "| $name | the patch does not apply |"
        missed=1
        continue
    fi
    programs="test_scenarios test_request test_policy"
    grep -q '^+++ b/routing/' "tests/mutations/$name.patch" && programs=test_routing
    grep -q '^+++ b/duties/' "tests/mutations/$name.patch" && programs=test_duties
    # shellcheck disable=SC2086 # A list of programs.
    ninja -C "$scratch/build" -j "$jobs" $programs >"$scratch/$name.log" 2>&1 ||
        { echo "| $name | does not build |"; missed=1; restore; continue; }
    seen=
    for program in $programs; do
        seen+=$(CG_SCHEDULES=$schedules "$scratch/build/bin/$program" --color_output=no 2>&1 |
            sed -n 's/.*error: in "\([^"]*\)".*/\1/p' | sed 's/^stories\///' | sort -u | head -4 | tr '\n' ' ')
    done
    [ -n "$seen" ] || { seen="none"; missed=1; }
    echo "| $name | $seen|"
    restore
done
exit $missed
