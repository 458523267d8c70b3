#!/usr/bin/env bash
# Runs case 10 of the second review: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# there is no disruption. Build first: the deploy file's build, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
standins=review/bin/standins-2
[ -x "$standins" ] && [ -x target/hickoryridge ] || exit 2 # not built
exec "$standins" -case leaving -record review/10/record.txt
