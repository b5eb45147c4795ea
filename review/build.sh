#!/bin/sh
# Builds the stand-ins and the cases into target/review; nothing but the JDK is needed.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -encoding UTF-8 -d target/review review/src/review/*.java
