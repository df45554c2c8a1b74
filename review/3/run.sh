#!/bin/bash
# Plays the case that claim.txt describes, and writes record.txt beside it.
# With TROUBLE=0 it leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec review/play.sh drain review/3/record.txt
