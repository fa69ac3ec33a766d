#!/bin/sh
# Exits with 1 if two backend servers hold the same keys, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fulmarhinge ] && [ -x target/review/1 ] || exit 2
exec target/review/1
