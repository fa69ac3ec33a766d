#!/bin/sh
# Exits with 1 if the deadly request reaches backend servers too often, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/fulmarhinge ] && [ -x target/review/deadly ] || exit 2
exec target/review/deadly
