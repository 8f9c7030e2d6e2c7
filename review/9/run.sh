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
members="1 2 3 4 5 6"
seeds="1 2 3"
. review/stand_ins_2/cluster.sh

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
[ "$trouble" = 0 ] || lose_two_disks 1 2 3 4
read_back 9 1 2 3 4 6
