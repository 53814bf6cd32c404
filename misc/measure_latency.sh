#!/usr/bin/env bash
# Measures what one entry and one upstream daemon add to the stand-in engine's own latency, what they relay, what
# that costs in processor time, and the memory of each role when idle.
set -eu
cd "$(dirname "$0")/.."
out=${OUT:-latency-out}
base=${BASE_PORT:-18300}
engines=${ENGINES:-4}
slots=${SLOTS:-128}
rm -rf "$out" && mkdir -p "$out"
. misc/deployment.sh
trap end_all EXIT

run platform "$bin/clementinegap_stand_in" --kind platform --port "$platform_port"
wait_for "$platform_url/v1/vms"
vms=
for i in $(seq "$engines"); do
    run "engine-$i" "$bin/clementinegap_stand_in" --kind engine --port $((base + 10 + i)) --slots "$slots" --token-us "${TOKEN_US:-2000}"
    settings_upstream "upstream-$i" zone-1 $((base + 30 + i)) $((base + 50 + i)) $((base + 10 + i)) assistant "$slots"
    vms="$vms{\"name\":\"upstream-$i\",\"role\":\"upstream\",\"zone\":\"zone-1\",\"region\":\"central\",\"address\":\"127.0.0.1:$((base + 30 + i))\",\"state\":\"live\"},"
done
curl -fsS -o /dev/null -X POST "$platform_url/control/vms" -d "{\"vms\":[${vms%,}]}"
"$bin/clementinegap" config submit "$platform_url" examples/lanyu.questionnaire.json >/dev/null
for i in $(seq "$engines"); do run "upstream-$i" "$bin/clementinegapd" --settings "$out/upstream-$i.settings.json"; done
settings_entry entry-1 zone-1 $((base + 70)) $((base + 71))
run entry-1 "$bin/clementinegapd" --settings "$out/entry-1.settings.json"
wait_for "http://127.0.0.1:$((base + 71))/readyz"
sleep 1.5
entry=http://127.0.0.1:$((base + 70))

memory_mb() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/${pid_of[$1]}/status"; }
cpu_s() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) / hz}' "/proc/${pid_of[$1]}/stat"; }

echo "idle memory: entry $(memory_mb entry-1) MB, upstream $(memory_mb upstream-1) MB"
echo "== latency"
"$bin/clementinegap" load latency "http://127.0.0.1:$((base + 11))" "$entry" demo-key 400 "${SECONDS_EACH:-10}" 5 || true
throughput() {
    echo "== throughput: $1 requests/s of $3 tokens"
    local entry_before upstream_before
    entry_before=$(cpu_s entry-1) upstream_before=$(cpu_s upstream-1)
    "$bin/clementinegap" load throughput demo-key "$1" "$2" "$3" "$entry"
    echo "processor time: entry $(awk "BEGIN {print $(cpu_s entry-1) - $entry_before}") s, one upstream of $engines $(awk "BEGIN {print $(cpu_s upstream-1) - $upstream_before}") s"
}
throughput 500 5 5
throughput 2000 5 5
throughput 500 5 100
echo "memory after the load: entry $(memory_mb entry-1) MB, upstream $(memory_mb upstream-1) MB"
