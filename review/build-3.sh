#!/bin/sh
# Checks what the scripts of review/11 to review/15 need: Python 3 with its standard library, and the programs that the build of
# the deploy file makes. Their stand-ins (standin-3) are Python and need no build.
set -eu
cd "$(dirname "$0")/standin-3"
python3 -B -c 'import deployment, cloud; deployment.Deployment.command(None, "control"); deployment.Deployment.command(None, "entry")'
for program in control entry; do
    test -x "../../target/release/heathergrade-platform-$program"
done
