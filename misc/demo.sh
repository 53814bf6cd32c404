#!/usr/bin/env bash
# Runs a whole deployment on 127.0.0.1, sends requests of several classes, stops everything gracefully.
# KEEP=1 leaves it running until Ctrl-C.
set -eu
cd "$(dirname "$0")/.."
out=${OUT:-demo-out}
base=${BASE_PORT:-18200}
rm -rf "$out" && mkdir -p "$out"
. misc/deployment.sh
trap end_all EXIT

run platform "$bin/clementinegap_stand_in" --kind platform --port "$platform_port"
for i in 1 2 3; do
    run engine$i "$bin/clementinegap_stand_in" --kind engine --port $((base + 10 + i)) --slots 4
done
run service "$bin/clementinegap_stand_in" --kind service --port $((base + 14))
wait_for "$platform_url/v1/vms"

for i in 1 2 3 4; do
    model=assistant
    [ $i = 4 ] && model=bookings
    settings_upstream upstream-$i zone-$(((i - 1) % 3 + 1)) $((base + 20 + i)) $((base + 30 + i)) $((base + 10 + i)) $model 4
done
vms=
for i in 1 2 3 4; do
    vms="$vms{\"name\":\"upstream-$i\",\"role\":\"upstream\",\"zone\":\"zone-$(((i - 1) % 3 + 1))\",\"region\":\"central\",\"address\":\"127.0.0.1:$((base + 20 + i))\",\"admin\":\"127.0.0.1:$((base + 30 + i))\",\"state\":\"live\"},"
done
for i in 1 2; do
    vms="$vms{\"name\":\"entry-$i\",\"role\":\"entry\",\"zone\":\"zone-$i\",\"region\":\"central\",\"admin\":\"127.0.0.1:$((base + 50 + i))\",\"state\":\"live\"},"
done
curl -fsS -o /dev/null -X POST "$platform_url/control/vms" -d "{\"vms\":[${vms%,}]}"
"$bin/clementinegap" questionnaire check examples/lanyu.questionnaire.json
"$bin/clementinegap" config submit "$platform_url" examples/lanyu.questionnaire.json
for i in 1 2 3 4; do
    run upstream-$i "$bin/clementinegapd" --settings "$out/upstream-$i.settings.json"
done
for i in 1 2; do
    settings_entry entry-$i zone-$i $((base + 40 + i)) $((base + 50 + i))
    run entry-$i "$bin/clementinegapd" --settings "$out/entry-$i.settings.json"
done
for i in 1 2; do wait_for "http://127.0.0.1:$((base + 50 + i))/readyz"; done
sleep 1

entry1=http://127.0.0.1:$((base + 41))
entry2=http://127.0.0.1:$((base + 42))
auth="Authorization: Bearer demo-key"
show() { printf '\n--- %s\n' "$1"; }

show "a streamed cutting guide (class cutting_guide, by rule)"
curl -fsSN --max-time 10 "$entry1/v1/chat/completions" -H "$auth" -H 'Content-Type: application/json' \
    -d '{"model":"assistant","stream":true,"stand_in_tokens":12,"messages":[{"role":"user","content":"How do I cut the cone?"}]}' |
    tee "$out/guide.txt" | tail -n 5
grep -q '\[DONE\]' "$out/guide.txt"

show "an order status (class order_status, idempotent)"
curl -fsS --max-time 10 "$entry2/services/bookings/status" -H "$auth" -d '{"order":"a17"}'
echo

show "a regulation draft (class regulation_draft, lowest tier)"
curl -fsS --max-time 20 "$entry2/v1/chat/completions" -H "$auth" -H 'Clementinegap-Class: regulation_draft' \
    -H 'Content-Type: application/json' \
    -d '{"model":"assistant","stand_in_tokens":60,"messages":[{"role":"user","content":"Draft the regulation sheet."}]}' | cut -c1-160

show "a deposit booking with a key, and its resend through the other entry"
for entry in "$entry1" "$entry2"; do
    curl -fsS --max-time 10 "$entry/services/bookings/deposit" -H "$auth" -H 'Clementinegap-Class: deposit_booking' \
        -H 'Idempotency-Key: order-a17' -d '{"booking":"a17","amount":250}'
    echo
done
ledger=$(curl -fsS "http://127.0.0.1:$((base + 14))/ledger")
echo "the service's ledger: $ledger"
[ "$ledger" = '{"a17":1}' ] || { echo "the booking did not run exactly once" >&2; exit 1; }

curl -fsS "http://127.0.0.1:$((base + 51))/metrics" | grep -q '^clementinegap_configuration_version 1$' ||
    { echo "the entry does not report configuration version 1" >&2; exit 1; }

show "where to look"
echo "time line: curl $(printf 'http://127.0.0.1:%s/timeline' $((base + 51)))"
echo "metrics:   curl $(printf 'http://127.0.0.1:%s/metrics' $((base + 51)))"
echo "logs:      $out/*.log"

if [ "${KEEP:-}" = 1 ]; then
    cat <<TEXT

The deployment runs until Ctrl-C. Try:
  curl -N $entry1/v1/chat/completions -H '$auth' -H 'Content-Type: application/json' \\
       -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Which needle for ripstop?"}]}'
  curl $entry2/services/bookings/status -H '$auth' -d '{"order":"a17"}'
TEXT
    trap 'echo' INT
    sleep infinity || true
    trap - INT
fi

show "stopping"
for name in entry-1 entry-2 upstream-1 upstream-2 upstream-3 upstream-4 engine1 engine2 engine3 service platform; do
    stop "$name" || { echo "$name did not stop gracefully" >&2; exit 1; }
done
echo "all processes stopped with exit 0"
