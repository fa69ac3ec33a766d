#!/bin/sh
# Exits with 1 if a request reaches a backend server that has left, 0 if none, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fulmarhinge ] && [ -x target/review/5 ] || exit 2
exec target/review/5
