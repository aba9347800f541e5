#!/bin/sh
# Runs the case from the root of the repository, after the build of the deploy file and review/build-2.sh.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/standin || exit 2
RECORD=review/7/record.txt exec target/review-2/standin foreign
