#!/bin/sh
# Plays this case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec bin/review-rig2 replaced review/8/record.txt
