#!/bin/sh
# Exit 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0: without the burst.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review review.LotBurst review/2
