#!/bin/bash
# Plays the case that claim.txt describes, and writes record.txt beside it.
cd "$(dirname "$0")/../.." || exit 2
exec review/play.sh recover review/2/record.txt
