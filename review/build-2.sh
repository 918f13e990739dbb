#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into review/lib-2/classes. Needs javac alone, no network.
cd "$(dirname "$0")/lib-2" || exit 2
rm -rf classes
mkdir -p classes
exec javac -encoding UTF-8 -d classes src/rig/*.java
