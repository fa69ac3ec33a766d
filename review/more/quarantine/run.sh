#!/bin/sh
# Exits with 1 if less than a quarter is served after the recovery, 0 if more, 2 if the case could not run.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/fulmarhinge ] && [ -x target/review/quarantine ] || exit 2
exec target/review/quarantine
