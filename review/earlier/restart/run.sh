#!/bin/sh
# Writes record.txt beside this file: what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0: without the disruption. RECORD: another file, for comparisons.
cd "$(dirname "$0")"
exec timeout -k 5 118 python3 case.py "${RECORD:-record.txt}"
