#!/bin/sh
# Writes daemon/target/tallyweir.jsa, the class-data archive that `run` starts from. A backend is started on
# deploy/example.json and told to leave, so that the classes of a start are in it. Without the file a backend
# starts as well, only more slowly. The archive knows the jar by its path, so java is given the same one as in `run`.
cd "$(dirname "$0")/.." || exit 1
rm -f daemon/target/tallyweir.jsa
EDGE_CONFIG=deploy/example.json java -XX:+UseSerialGC -Xlog:disable -XX:ArchiveClassesAtExit=daemon/target/tallyweir.jsa \
    -jar daemon/target/tallyweir.jar serve > daemon/target/archive.log 2>&1 &
backend=$!
tries=0
until grep -q listens daemon/target/archive.log || [ $tries -ge 100 ]; do
    tries=$((tries + 1))
    sleep 0.1
done
sleep 0.5
kill -TERM $backend
wait $backend
[ -s daemon/target/tallyweir.jsa ] || echo "tallyweir: no class-data archive was written" >&2
