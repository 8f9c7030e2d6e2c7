#!/usr/bin/env bash
# A service with one synchronous replica: the primary is dark for a while, two
# calls to promote get no answer and are carried out late, and a replica
# restarts meanwhile.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 every call is answered at once.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
members="1 2 3 4 5 11 12 13 21 250"
seeds="1 2 3"
. review/stand_ins_2/cluster.sh
play_group calls
