# Control members as separate processes on loopback addresses. The script that
# sources this sets `here` (its folder), `members` (the numbers of all members)
# and `seeds` (three of them), and is in the root of the repository.

tool=target/review-2/operator_call
program=target/programs/rhubarbrun-platform
record=$here/record.txt
work=$(mktemp -d)
began=$(date +%s.%N)
: >"$record"
declare -A pids=()

note() {
    printf '%8.3f %s\n' "$(awk -v now="$(date +%s.%N)" -v start="$began" \
        'BEGIN { print now - start }')" "$*" | tee -a "$record"
}
# Ends all processes; KEEP_LOGS names a folder for their logs.
finish() { # exit code
    local index
    trap - EXIT INT TERM
    for index in "${!pids[@]}"; do
        kill -KILL "${pids[$index]}" 2>/dev/null
    done
    wait 2>/dev/null
    [ -n "${KEEP_LOGS:-}" ] && cp -r "$work" "$KEEP_LOGS"
    rm -rf "$work"
    exit "$1"
}
# An end that is none of the script's own is no verdict.
trap 'finish 2' EXIT INT TERM

[ -x "$tool" ] && [ -x "$program" ] || { note "not built"; finish 2; }
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
addresses=()
for index in $members; do addresses+=("$net.$index"); done
port=$("$tool" ports $((20000 + RANDOM % 12000)) 4 "${addresses[@]}") || finish 2
seed_list=
for index in $seeds; do seed_list+="${seed_list:+,}\"$net.$index:$port\""; done

settings() { # index bootstrap
    cat >"$work/$1.new" <<END
nodeName = "core-$1"
role = "control"
machineClass = "core"
serves = ["control_plane"]
ip = "$net.$1"
zone = "z-$(($1 % 3))"
region = "r-$(($1 % 3))"
internalPorts = [$((port + 1)),$((port + 2))]
seeds = [$seed_list]
bootstrap = $2
inTolerance = true
dataDir = "$work/data-$1"
discovery = "registration"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
[zones]
z-0 = "r-0"
z-1 = "r-1"
z-2 = "r-2"
[listen]
control = "$net.$1:$port"
[limits]
cpuShare = 0.6
cpuCores = 1
memoryMb = 256
maxFds = 4096
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
applyDeadlineMs = 4000
rollbackSlackMs = 250
maxSkewMs = 15000
recoveryS = 12
fencing = true
thawSlackMs = 300
[cloud]
address = "$net.250:$port"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
END
    mv "$work/$1.new" "$work/$1.toml"
}
start() { # index bootstrap
    mkdir -p "$work/data-$1"
    settings "$1" "$2"
    RHUBARBRUN_NODE_FILE="$work/$1.toml" "$program" control \
        >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
    note "core-$1 starts"
}
document() { # version
    cat >"$work/document" <<END
{"version":$1,"routes":[{"name":"r-1","host":"db1","pathPrefix":"/","type":"primary","timeoutMs":1000,"targetLatencyMs":500,"priority":1,"service":"s1","maxAttempts":2}],"services":[{"name":"s1","healthPath":"/health","maxConns":86,"protocol":"h1","tls":false,"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}}
END
}
put() { # version, members...: until acknowledged, 15 s at most
    local version=$1 end=$((SECONDS + 15)) answer
    shift
    document "$version"
    while [ "$SECONDS" -lt "$end" ]; do
        for index in "$@"; do
            answer=$("$tool" PUT "$net.$index:$port" /api/config "$work/document")
            if [ "${answer%% *}" = 200 ]; then
                acked_by=$(cut -d' ' -f2 <<<"$answer")
                acked_by=${acked_by%:*}
                acked_by=${acked_by##*.}
                note "version $version is acknowledged by core-$acked_by"
                return 0
            fi
        done
        sleep 0.2
    done
    note "version $version is not acknowledged"
    return 1
}


# Kills the process as a loss of the machine would.
lose() { # index
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null
    unset "pids[$1]"
}
lose_disk() { # index
    lose "$1"
    rm -rf "$work/data-$1"
    note "core-$1 loses its disk"
}
# The final fault: the machine that acknowledged last and the next one lose
# their disks and are back 1.4 s later.
lose_two_disks() { # candidates...
    local second=
    for index in "$@"; do
        [ "$index" != "$acked_by" ] && second=$index
    done
    lose_disk "$acked_by"
    lose_disk "$second"
    sleep 1.4
    start "$acked_by" false
    start "$second" false
}
# The operator reads for 40 s; recoveryS is 12. Ends the script.
read_back() { # version, members...
    local version=$1 held= end=$((SECONDS + 40)) answer status
    shift
    declare -A seen=()
    while [ "$SECONDS" -lt "$end" ] && [ -z "$held" ]; do
        for index in "$@"; do
            answer=$("$tool" GET "$net.$index:$port" /api/config)
            status=${answer%% *}
            [ -n "$status" ] || { note "no call was made"; finish 2; }
            seen[$status]=$((${seen[$status]:-0} + 1))
            if [ "$status" = 200 ]; then
                held=$(grep -o '"version":[0-9]*' <<<"$answer")
                note "core-$index is read: $held"
                break
            fi
        done
        sleep 0.5
    done
    for status in "${!seen[@]}"; do
        note "reads answered $status: ${seen[$status]}"
    done
    if [ "$held" = "\"version\":$version" ]; then
        note "the rule held"
        finish 0
    fi
    note "CONFIG is broken: version $version was acknowledged, and no machine" \
        "returns it in 40 s"
    finish 1
}

# A service with one synchronous replica behind five control members and a
# proxy; `group_play` plays the events. Ends the script.
play_group() { # leave|resume|calls
    local index answer code
    for index in 1 2 3 4 5; do start "$index" true; done
    document 7
    sed -i 's/"timeoutMs":1000/"timeoutMs":3000/; s/"syncReplicas":0/"syncReplicas":1/' \
        "$work/document"
    for attempt in $(seq 30); do
        answer=$("$tool" PUT "$net.1:$port" /api/config "$work/document")
        [ "${answer%% *}" = 200 ] && break
        sleep 0.3
    done
    [ "${answer%% *}" = 200 ] || { note "no acknowledgement"; finish 2; }
    note "version 7 is acknowledged"

    settings 21 false
    sed -i 's/^role.*/role = "proxy"/; s/^machineClass.*/machineClass = "edge"/
    s/^serves.*/serves = ["edge"]/; s/^dataDir.*//; s/^inTolerance.*/inTolerance = false/
    s/^control = .*/front = "'"$net.21:$((port + 3))"'"\nreadiness = "'"$net.21:$port"'"/' \
        "$work/21.toml"
    RHUBARBRUN_NODE_FILE="$work/21.toml" "$program" proxy >"$work/21.log" 2>&1 &
    pids[21]=$!
    note "the proxy starts"
    target/review-2/group_play "$net" "$port" "$((port + 3))" "${TROUBLE:-1}" "$1" \
        >"$work/play" 2>&1 &
    pids[play]=$!
    wait "${pids[play]}"
    code=$?
    unset 'pids[play]'
    tee -a "$record" <"$work/play"
    finish "$code"
}
