#!/bin/sh
# Lays what the kit's bench wants beside a site file; none of it belongs to the repository. Wants the kit's folder, by default
# the one beside this checkout.
set -e
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit/sites}
for name in real.json wire.json unlock.txt; do
    if [ ! -f "$kit/$name" ]; then
        echo "lay.sh: $kit/$name is not there: give the folder of the kit's sites as the first argument" >&2
        exit 1
    fi
    cp -f "$kit/$name" "$here/$name"
    chmod u+w "$here/$name"
done
echo "laid beside the site files in $here"
