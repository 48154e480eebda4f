#!/usr/bin/env bash
# Runs the case of this folder: see claim.txt. It exits with 1 if the rule was broken, with 0 if it
# held and with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out. What was sent, answered and run
# is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/jacinthd ] && [ -x ../../target/standin3 ] || { echo "not built"; exit 2; }
exec timeout --kill-after=5 115 ../../target/standin3 gone ../../target/jacinthd record.txt
