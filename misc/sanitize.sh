#!/usr/bin/env bash
# Builds and runs the fast tests under sanitizers, each in a build folder of its own.
# usage: misc/sanitize.sh [address,undefined|thread]...
set -eu
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
tests=${TESTS:-core config request fuzz process experiment}
[ $# -gt 0 ] || set -- address,undefined thread
for sanitizers in "$@"; do
    build=build-${sanitizers%%,*}
    echo "== sanitizers: $sanitizers"
    # Little optimisation and line tables only: the jobs are bound by compilation.
    cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" -DCG_SANITIZE="$sanitizers" >/dev/null
    # shellcheck disable=SC2086
    ninja -C "$build" -j "${JOBS:-$(nproc)}" $(printf 'test_%s ' $tests) >"$build/build.log" || { tail -n 40 "$build/build.log"; exit 1; }
    TSAN_OPTIONS="suppressions=$PWD/misc/thread_sanitizer.supp second_deadlock_stack=1" \
        ctest --test-dir "$build" --output-on-failure -j 2 -R "^($(echo "$tests" | tr ' ' '|'))\$"
done
