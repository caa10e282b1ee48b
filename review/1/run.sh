#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || exit 2
exec target/review/standin lease-on-a-slow-clock review/1
