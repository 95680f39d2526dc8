#!/usr/bin/env bash
# Build first: the build command of deploy/system.toml, then review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
export REVIEW_ROOT=$(cd "$here/../.." && pwd)
"$REVIEW_ROOT/target/review-2/grace" "$here"
code=$?
case $code in 0|1) exit $code;; *) exit 2;; esac
