#!/usr/bin/env bash
# Usage: [TROUBLE=0] run.sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
# could not run. With TROUBLE=0 the same is done without the disruption.
cd "$(dirname "$0")/../.." || exit 2
. review/stand_ins/run_scenario.sh
run_scenario 5
