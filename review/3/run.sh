#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in the
# environment, the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/lab ] || [ ! -x target/release/gypsumrack-edge ]; then
    echo "run review/build.sh and the build of deploy/system.toml first"
    exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec target/review/lab parts review/3
