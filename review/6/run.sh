#!/usr/bin/env bash
# A core machine is replaced as planned, and right after the next
# acknowledgement two others lose their disks. Reads the desired state back.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the loss of the two disks; TROUBLE=late has it
# 10 s after the replaced machine ended.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
trouble=${TROUBLE:-1}
tool=target/review-2/operator_call
program=target/programs/rhubarbrun-platform
record=$here/record.txt
work=$(mktemp -d)
# KEEP_LOGS names a folder for the logs.
: >"$record"
declare -A pids=()

note() { printf '%8.3f %s\n' "$(awk -v now="$(date +%s.%N)" -v start="$began" \
    'BEGIN { print now - start }')" "$*" | tee -a "$record"; }
finish() {
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null; done
    wait 2>/dev/null
    [ -n "${KEEP_LOGS:-}" ] && cp -r "$work" "$KEEP_LOGS"
    rm -rf "$work"
    exit "$1"
}
began=$(date +%s.%N)
trap 'finish 2' INT TERM

[ -x "$tool" ] && [ -x "$program" ] || { note "not built"; finish 2; }
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
addresses=()
for index in 1 2 3 4 5 6; do addresses+=("$net.$index"); done
port=$("$tool" ports $((20000 + RANDOM % 20000)) 4 "${addresses[@]}") || finish 2

settings() { # index bootstrap
    cat >"$work/$1.new" <<END
nodeName = "core-$1"
role = "control"
machineClass = "core"
serves = ["control_plane"]
ip = "$net.$1"
zone = "z-$(($1 % 3))"
region = "r-$(($1 % 3))"
internalPorts = [$((port + 1)),$((port + 3))]
seeds = ["$net.1:$port","$net.2:$port","$net.3:$port"]
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
address = "$net.1:$((port + 3))"
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

for index in 1 2 3 4 5; do start "$index" true; done
sleep 1
for index in 1 2 3 4 5; do settings "$index" false; done
put 7 1 2 3 4 5 || finish 2
sleep 6

# The planned replacement: the new machine first, then SIGTERM.
start 6 false
sleep 5
note "core-5 gets SIGTERM; its successor has run for 5 s"
kill -TERM "${pids[5]}"
wait "${pids[5]}"
note "core-5 has ended"
unset 'pids[5]'
[ "$trouble" = late ] && sleep 10

put 9 1 2 3 4 6 || finish 2
if [ "$trouble" != 0 ]; then
    first=$acked_by
    [ "$first" = 6 ] && first=1
    second=$((first % 4 + 1))
    for index in "$first" "$second"; do
        kill -KILL "${pids[$index]}"
        wait "${pids[$index]}" 2>/dev/null
        rm -rf "$work/data-$index"
        note "core-$index loses its disk"
    done
    sleep 1.4
    start "$first" false
    start "$second" false
fi

# The machines are back; recoveryS is 12. The operator reads for 40 s.
declare -A seen=()
read_at=$((SECONDS + 40))
held=
while [ "$SECONDS" -lt "$read_at" ] && [ -z "$held" ]; do
    for index in 1 2 3 4 6; do
        answer=$("$tool" GET "$net.$index:$port" /api/config)
        status=${answer%% *}
        seen[$status]=$((${seen[$status]:-0} + 1))
        if [ "$status" = 200 ]; then
            held=$(grep -o '"version":[0-9]*' <<<"$answer")
            note "core-$index is read: $held"
            break
        fi
    done
    sleep 0.5
done
for status in "${!seen[@]}"; do note "reads answered $status: ${seen[$status]}"; done
if [ "$held" = '"version":9' ]; then
    note "the rule held"
    finish 0
fi
note "LOST and CONFIG are broken: version 9 was acknowledged, and no machine" \
    "returns it in 40 s"
finish 1
