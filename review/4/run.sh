#!/bin/sh
# Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
exec java -Xmx1500m -cp target/review-2 LedLots review/4/record.txt "${TROUBLE:-1}"
