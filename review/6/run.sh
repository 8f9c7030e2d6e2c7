#!/usr/bin/env bash
# A service with one synchronous replica: a replica leaves as planned while the
# other one receives nothing, and then the primary goes dark.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 the replica has not left and come back once before.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
members="1 2 3 4 5 11 12 13 21 250"
seeds="1 2 3"
. review/stand_ins_2/cluster.sh
play_group leave
