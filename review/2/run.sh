#!/usr/bin/env bash
# Plays the case; needs the build of the deploy file and review/build.sh. With TROUBLE=0
# it leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-harness memory review/2
