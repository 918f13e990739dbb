#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. With TROUBLE=0 the kernels are up from the start.
cd "$(dirname "$0")" || exit 2
if [ ! -d ../classes ]; then
    echo "review/classes is not there: run review/build.sh first" >&2
    exit 2
fi
files=$(mktemp -d) || exit 2
java -Xmx256m -cp ../classes review.LateKernel ../.. "$files" record.txt "${TROUBLE:-1}" &
check=$!
trap 'kill $check 2>/dev/null' INT TERM
wait $check
code=$?
rm -rf "$files"
[ $code -le 1 ] || code=2
exit $code
