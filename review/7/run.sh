#!/usr/bin/env bash
# A core machine is lost for good and replaced while another one is down for
# 7 s. Later, when all are back, two others lose their disks right after an
# acknowledgement. Reads the desired state back.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the loss of the two disks; with TROUBLE=up the
# machine that is down for 7 s stays up.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
trouble=${TROUBLE:-1}
members="1 2 4 5 6 7"
seeds="1 2 6"
. review/stand_ins_2/cluster.sh

for index in 1 2 4 5 6; do start "$index" true; done
sleep 1
for index in 1 2 4 5 6; do settings "$index" false; done
put 7 1 2 4 5 6 || finish 2
sleep 6

if [ "$trouble" != up ]; then
    lose 5
    note "core-5 is down, with its disk"
fi
lose 6
note "core-6 is lost for good"
sleep 2
start 7 false
sleep 5
[ "$trouble" = up ] || start 5 false

# All are back; catchUpS is 4.
sleep 15
put 9 1 2 4 5 7 || finish 2
[ "$trouble" = 0 ] || lose_two_disks 1 2 4 7
read_back 9 1 2 4 5 7
