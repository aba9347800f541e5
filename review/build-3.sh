#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 can be loaded. They need the standard library of Python 3.11 alone, and
# start no program but those that the build of the deploy file makes.
set -e
cd "$(dirname "$0")/standin-3"
python3 -B -c 'import deployment, cloud'
for program in control entry; do
    test -x "../../target/release/heathergrade-platform-$program"
done
