# Shared by the scripts that run a whole deployment on 127.0.0.1: starts processes, remembers their ids, stops them.
# Callers set `out` (a fresh folder) and `base` (the first port) before sourcing.

bin=${BUILD:-build}/bin
platform_port=$base
platform_url=http://127.0.0.1:$platform_port
declare -gA pid_of=()

# run NAME COMMAND...: starts a process in the background, its output in $out/NAME.log.
run() {
    local name=$1
    shift
    "$@" >"$out/$name.log" 2>&1 &
    pid_of[$name]=$!
}

# settings_entry NAME ZONE CALLER_PORT ADMIN_PORT [EXTRA]
settings_entry() {
    cat >"$out/$1.settings.json" <<JSON
{
    "role": "entry", "vm": "$1", "zone": "$2", "region": "central",
    "admin": {"port": $4},
    "platform": {"url": "$platform_url", "poll_ms": 200},
    "peers": {"plain_text": true},  // A demonstration on one machine.
    "callers": {"port": $3}${5:+, $5}
}
JSON
}

# settings_upstream NAME ZONE PEER_PORT ADMIN_PORT ENGINE_PORT MODEL SLOTS [EXTRA]
settings_upstream() {
    cat >"$out/$1.settings.json" <<JSON
{
    "role": "upstream", "vm": "$1", "zone": "$2", "region": "central",
    "admin": {"port": $4},
    "platform": {"url": "$platform_url", "poll_ms": 200},
    "peers": {"address": "127.0.0.1:$3", "plain_text": true},
    "upstream": {"url": "http://127.0.0.1:$5", "models": ["$6"], "slots": $7}${8:+, $8}
}
JSON
}

# wait_for URL: until it answers with success, 10 s at most.
wait_for() {
    local tries=0
    until curl -fsS -o /dev/null "$1" 2>/dev/null; do
        tries=$((tries + 1))
        [ $tries -lt 200 ] || { echo "no answer from $1" >&2; return 1; }
        sleep 0.05
    done
}

# stop NAME: SIGTERM, then its exit code.
stop() {
    kill -TERM "${pid_of[$1]}" 2>/dev/null || true
    local code=0
    wait "${pid_of[$1]}" || code=$?
    unset "pid_of[$1]"
    return $code
}

# Ends what is left when a script fails; only processes that it started.
end_all() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -KILL "${pid_of[$name]}" 2>/dev/null || true
    done
}
