#!/usr/bin/env bash
# Measures what whole daemons spend: processor time by request and by token (HTTP, gRPC and decisions together),
# processor time, memory and bytes when idle. The slopes of the decisions alone come from measure_slopes.
set -eu
cd "$(dirname "$0")/.."
out=${OUT:-process-cost-out}
base=${BASE_PORT:-18600}
span=${SECONDS_EACH:-10}
rm -rf "$out" && mkdir -p "$out"
. misc/deployment.sh
trap end_all EXIT

run platform "$bin/clementinegap_stand_in" --kind platform --port "$platform_port"
run engine "$bin/clementinegap_stand_in" --kind engine --port $((base + 1)) --slots 512 --token-us 2000
wait_for "$platform_url/v1/vms"
curl -fsS -o /dev/null -X POST "$platform_url/control/vms" \
    -d "{\"vms\":[{\"name\":\"upstream-1\",\"role\":\"upstream\",\"zone\":\"zone-1\",\"region\":\"central\",\"address\":\"127.0.0.1:$((base + 2))\",\"state\":\"live\"}]}"
"$bin/clementinegap" config submit "$platform_url" examples/lanyu.questionnaire.json >/dev/null
settings_upstream upstream-1 zone-1 $((base + 2)) $((base + 3)) $((base + 1)) assistant 512
run upstream-1 "$bin/clementinegapd" --settings "$out/upstream-1.settings.json"
settings_entry entry-1 zone-1 $((base + 4)) $((base + 5))
run entry-1 "$bin/clementinegapd" --settings "$out/entry-1.settings.json"
wait_for "http://127.0.0.1:$((base + 5))/readyz"
sleep 1.5

ticks() { awk '{print $14 + $15}' "/proc/${pid_of[$1]}/stat"; }
memory() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/${pid_of[$1]}/status"; }
hz=$(getconf CLK_TCK)
entry=http://127.0.0.1:$((base + 4))

# spent LABEL DIVISOR COMMAND...: processor time of both daemons while the command runs.
spent() {
    local label=$1 divisor=$2 before_entry before_upstream
    shift 2
    before_entry=$(ticks entry-1) before_upstream=$(ticks upstream-1)
    "$@"
    awk -v l="$label" -v h="$hz" -v d="$divisor" -v e=$(($(ticks entry-1) - before_entry)) \
        -v u=$(($(ticks upstream-1) - before_upstream)) \
        'BEGIN {printf "%s: entry %.1f us, upstream %.1f us each\n", l, e / h / d * 1e6, u / h / d * 1e6}'
}

echo "idle memory: entry $(memory entry-1) MB, upstream $(memory upstream-1) MB"
spent "idle, processor time of a second" "$span" sleep "$span"
for tokens in 2 102; do
    spent "200 requests/s of $tokens tokens, by request" $((200 * span)) \
        "$bin/clementinegap" load throughput demo-key 200 "$span" "$tokens" "$entry"
done
echo "memory after the load: entry $(memory entry-1) MB, upstream $(memory upstream-1) MB"
for name in entry-1 upstream-1 engine platform; do stop "$name"; done
