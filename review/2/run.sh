#!/bin/sh
# Exits with 1 if a request ran twice or ran though it was refused, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fulmarhinge ] && [ -x target/review/2 ] || exit 2
exec target/review/2
