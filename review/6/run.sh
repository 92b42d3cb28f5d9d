#!/usr/bin/env bash
# Plays the case once and writes record.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../standin/run_case.sh" 6
