#!/bin/sh
# Builds the stand-ins and the checks of all cases. Needs the JDK alone; run from anywhere, after the build of the deploy file.
cd "$(dirname "$0")" || exit 2
rm -rf classes
mkdir classes && exec javac --release 17 -d classes lib/src/review/*.java
