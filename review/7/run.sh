#!/usr/bin/env bash
# A service with one synchronous replica loses its primary twice. An order to a
# replica between these losses gets no answer and is carried out late.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 every order is answered at once.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
members="1 2 3 4 5 11 12 13 21 250"
seeds="1 2 3"
. review/stand_ins_2/cluster.sh

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
target/review-2/group_play "$net" "$port" "$((port + 3))" "${TROUBLE:-1}" \
    >"$work/play" 2>&1 &
pids[play]=$!
wait "${pids[play]}"
code=$?
unset 'pids[play]'
tee -a "$record" <"$work/play"
finish "$code"
