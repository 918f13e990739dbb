#!/bin/sh
# run-case.sh FOLDER CLASS: plays one case. The class starts the project's program with the line `run` of deploy/balancer.toml.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$1" && pwd) || exit 2
lib=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$lib/../.." && pwd) || exit 2
[ -f "$lib/classes/rig/Case.class" ] || { echo "run review/build-2.sh first"; exit 2; }
[ -f "$root/daemon/target/tallyweir.jar" ] || { echo "build the project first"; exit 2; }
temporary=$(mktemp -d) || exit 2
unset EDGE_OPERATORS EDGE_CONFIG EDGE_NAME EDGE_LISTEN
timeout -s TERM 120 java -XX:+UseSerialGC -Xmx512m "-Droot=$root" "-Dfolder=$folder" "-Dtemporary=$temporary" -cp "$lib/classes" "rig.$2"
code=$?
rm -rf "$temporary"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
