#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
[ -x target/review2 ] && [ -x target/geraniumbeam-platformd ] || exit 2
exec target/review2 draining-primary target/geraniumbeam-platformd review/10/record.txt
