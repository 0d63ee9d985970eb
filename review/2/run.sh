#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -x target/review/stand_in ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/stand_in late-refusal review/2/record.txt
