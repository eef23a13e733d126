#!/usr/bin/env bash
# Plays the case of this folder. It exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. With TROUBLE=0 it is played without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/lagoonkeel && -x target/review-standin ]] || exit 2
exec target/review-standin far-behind "review/1/record.txt"
