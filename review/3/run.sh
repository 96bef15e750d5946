#!/usr/bin/env bash
# Plays this case once. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-lab ] && [ -x target/geraniumbeam-platformd ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review-lab -case late-delete -record review/3/record.txt "-trouble=$trouble"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
