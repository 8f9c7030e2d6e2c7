# Functions that run a whole deployment on loopback; sourced by scripts/demo
# and scripts/process-test, which set `directory` (the build directory) and
# `proxy_count` first. Stops by its process ids whatever it started.

programs=$directory/programs
bench=$directory/bench/rhubarbrun-bench
work=$(mktemp -d)
# First port; below the range of ephemeral ports, which starts at 32768 by
# default.
base=${DEMO_BASE_PORT:-27000}
pids=()

stop_all() {
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
}
finish() {
    local code=$?
    stop_all
    if [ "$code" -eq 0 ] && [ -z "${DEMO_KEEP_LOGS:-}" ]; then
        rm -rf "$work"
    else
        echo "logs are in $work" >&2
    fi
    exit "$code"
}
trap finish EXIT

# start NAME COMMAND... runs a process in the background, with its own log.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    echo $! >"$work/$name.pid"
}

# until_true SECONDS WHAT COMMAND... waits for a condition.
until_true() {
    local limit=$((SECONDS + $1)) what=$2
    shift 2
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$limit" ]; then
            echo "timed out: $what" >&2
            return 1
        fi
        sleep 0.1
    done
}

http() { # http PORT PATH
    exec 3<>"/dev/tcp/127.0.0.1/$1"
    printf 'GET %s HTTP/1.0\r\nHost: localhost\r\n\r\n' "$2" >&3
    cat <&3
    exec 3<&-
}
is_ready() { http "$1" /v1/health | head -1 | grep -q ' 200 '; }
proxy_dump() { http "$((base + 200 + $1))" /v1/dump 2>/dev/null; }
primary_of() { # the primary as a proxy's directory shows it
    local n
    for n in $(seq "$proxy_count"); do
        proxy_dump "$n" |
            sed -n 's/.*"groups":{"orders":{"primary":"\([^"]*\)".*/\1/p' |
            grep . && return 0
    done
    return 1
}
writer_of() { # the number of the proxy that takes the group's writes
    local n
    for n in $(seq "$proxy_count"); do
        if proxy_dump "$n" | grep -q '"primary":true'; then
            echo "$n"
            return 0
        fi
    done
    return 1
}
has_primary() { [ -n "$(primary_of)" ]; }
ctl() {
    local operator=$1
    shift
    RHUBARBRUN_TOKEN=token-of-$operator "$programs/rhubarbctl" \
        --control="$http_members" "$@"
}


start_control() { # start_control NUMBER
    start "control-$1" "$programs/rhubarbrun-control" --name="c$1" \
        --zone="zone-$1" --peer_listen="127.0.0.1:$((base + $1))" \
        --http_listen="127.0.0.1:$((base + 100 + $1))" \
        --control_members="$members" --deployment_key_file="$work/key" \
        --data_directory="$work/c$1" --operators_file="$work/operators.toml" \
        --found_group=true
}

start_proxy() { # start_proxy NUMBER
    start "proxy-$1" "$programs/rhubarbrun-proxy" --name="p$1" \
        --zone="zone-$((($1 - 1) % 3 + 1))" \
        --peer_listen="127.0.0.1:$((base + 10 + $1))" \
        --http_listen="127.0.0.1:$((base + 200 + $1))" \
        --caller_listen="127.0.0.1:$((base + 300 + $1))" \
        --control_members="$members" --deployment_key_file="$work/key"
}

start_target() { # start_target NUMBER [options]
    local n=$1
    shift
    start "target-$n" "$bench" target --port="$((base + 400 + n))" \
        --server="s$n" --zone="zone-$n" --slots=5 --connection_limit=70 \
        --announce_to="$announce" "$@"
}

start_deployment() {
    (umask 077 && head -c 48 /dev/urandom | base64 >"$work/key")
    local n operators
    hash_of() { printf %s "token-of-$1" | sha256sum | cut -d' ' -f1; }
    operators=$(for name in alice bob; do
        printf '[[operators]]\nid = "%s"\ntoken_sha256 = "%s"\n' \
            "$name" "$(hash_of "$name")"
    done)
    echo "$operators" >"$work/operators.toml"
    members=""
    http_members=""
    for n in 1 2 3; do
        members+="${members:+,}c$n=127.0.0.1:$((base + n))"
        http_members+="${http_members:+,}127.0.0.1:$((base + 100 + n))"
    done
    for n in 1 2 3; do
        start_control "$n"
    done

    printf 'version = 1\n%s\n[[groups]]\nid = "orders"\n' "$operators" \
        >"$work/bundle.toml"
    printf 'database = "orders"\n[groups.limits]\nslots = 5\n' \
        >>"$work/bundle.toml"
    printf 'connections = 70\n' >>"$work/bundle.toml"
    until_true 30 "a control leader" ctl alice status
    ctl alice propose "$work/bundle.toml" >"$work/propose.txt"
    digest=$(sed -n 's/^digest //p' "$work/propose.txt")
    ctl bob approve 1 "$digest" >"$work/approve.txt"
    ctl alice roll 1 "$digest" >"$work/roll.txt"

    proxies=""
    announce=""
    for n in $(seq "$proxy_count"); do
        start_proxy "$n"
        proxies+="${proxies:+,}127.0.0.1:$((base + 300 + n))"
        announce+="${announce:+,}127.0.0.1:$((base + 200 + n))"
    done
    for n in $(seq "$proxy_count"); do
        until_true 30 "proxy $n is ready" is_ready "$((base + 200 + n))"
    done
    start_target 1
    start_target 2 --primary="127.0.0.1:$((base + 401))"
    start_target 3 --primary="127.0.0.1:$((base + 401))"
    until_true 30 "the group has a primary" primary_of
    until_true 30 "the primary takes writes" writer_of
}

# load NAME SECONDS [options] runs 12 sessions through all proxies. LOAD_OPTIONS
# holds further options, such as --keys=1.
load() {
    local name=$1 length=$2
    shift 2
    "$bench" load --proxies="$proxies" --sessions=12 --seconds="$length" \
        --run="$name" --record="$work/$name.txt" ${LOAD_OPTIONS:-} "$@" >"$work/$name.json"
}

# check NAME compares the records of a load with the table at the primary.
check() {
    local primary
    primary=$(primary_of)
    cat "$work/$1.json"
    "$bench" load --mode=check --record="$work/$1.txt" \
        --primary="127.0.0.1:$((base + 400 + ${primary#s}))"
}

gap_of() { sed -n 's/.*"write_gap_ms":\([0-9]*\).*/\1/p' "$work/$1.json"; }

process_of() { cat "$work/$1.pid"; }
