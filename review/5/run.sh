#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves
# the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/berylfalld ] || [ ! -x target/review/rig ]; then
	echo "build the programs of the deploy file and run review/build.sh first" >&2
	exit 2
fi
target/review/rig poison "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
