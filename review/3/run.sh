#!/bin/sh
# Exit 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0: the same requests
# one after the other.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review review.LargeRequests review/3
