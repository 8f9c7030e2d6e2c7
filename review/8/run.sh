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

play_group resume
