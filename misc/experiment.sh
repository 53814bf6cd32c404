#!/usr/bin/env bash
# Runs one experiment for the product and for the naive policies, one after the other, each with a fresh deployment on
# 127.0.0.1, the same stand-ins and the same seed; writes result, table and plot.
# usage: misc/experiment.sh experiments/NAME.json [OUT_FOLDER]
set -eu
cd "$(dirname "$0")/.."
experiment=$1
name=$(basename "$experiment" .json)
results=${2:-experiment-out}
base=${BASE_PORT:-18500}
bin=${BUILD:-build}/bin
eval "$("$bin/clementinegap" load shape "$experiment")"
mkdir -p "$results"
rm -f "$results/$name.json"

joined() { local IFS=,; echo "$*"; }

# Drains and starts daemons anew at their times, in the background of the load.
replace() {
    local item started now at
    started=$(date +%s.%N)
    for item in $replacements; do
        now=$(date +%s.%N)
        at=$(awk "BEGIN {d = ${item%%:*} - ($now - $started); print d > 0 ? d : 0}")
        sleep "$at"
        stop "${item#*:}" || echo "${item#*:} did not stop gracefully" >&2
        run "${item#*:}" "$bin/clementinegapd" --settings "$out/${item#*:}.settings.json"
    done
}

run_once() {
    local label=$1 extra=$2 engines=() entry_urls=() vms= i
    out=$results/$name-$label
    rm -rf "$out" && mkdir -p "$out"
    . misc/deployment.sh
    trap end_all EXIT
    run platform "$bin/clementinegap_stand_in" --kind platform --port "$platform_port"
    wait_for "$platform_url/v1/vms"
    for i in $(seq "$upstreams"); do
        run "engine-$i" "$bin/clementinegap_stand_in" --kind engine --port $((base + 100 + i)) --slots "$slots" --token-us "$token_us"
        engines+=("http://127.0.0.1:$((base + 100 + i))")
        settings_upstream "upstream-$i" "zone-$(((i - 1) % zones + 1))" $((base + 150 + i)) $((base + 200 + i)) $((base + 100 + i)) assistant "$slots" "$extra"
        vms="$vms{\"name\":\"upstream-$i\",\"role\":\"upstream\",\"zone\":\"zone-$(((i - 1) % zones + 1))\",\"region\":\"central\",\"address\":\"127.0.0.1:$((base + 150 + i))\",\"state\":\"live\"},"
    done
    curl -fsS -o /dev/null -X POST "$platform_url/control/vms" -d "{\"vms\":[${vms%,}]}"
    "$bin/clementinegap" config submit "$platform_url" examples/lanyu.questionnaire.json >/dev/null
    for i in $(seq "$upstreams"); do run "upstream-$i" "$bin/clementinegapd" --settings "$out/upstream-$i.settings.json"; done
    for i in $(seq "$entries"); do
        settings_entry "entry-$i" "zone-$(((i - 1) % zones + 1))" $((base + 10 + i)) $((base + 20 + i)) "$extra"
        run "entry-$i" "$bin/clementinegapd" --settings "$out/entry-$i.settings.json"
        entry_urls+=("http://127.0.0.1:$((base + 10 + i))")
    done
    for i in $(seq "$entries"); do wait_for "http://127.0.0.1:$((base + 20 + i))/readyz"; done
    sleep 2
    "$bin/clementinegap" load run "$experiment" "$label" "$results/$name.json" "$platform_url" "$(joined "${engines[@]}")" "$(joined "${entry_urls[@]}")" &
    local load=$!
    replace
    wait "$load"
    { end_all; wait; } 2>/dev/null
    pid_of=()
}

run_once product ""
run_once naive '"naive": true'
"$bin/clementinegap" load report "$results/$name.json" "$results/$name.svg" | tee "$results/$name.txt"
gnuplot "$results/$name.json.gnuplot"
rm -f "$results/$name.json.gnuplot"
