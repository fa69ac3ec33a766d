#!/bin/sh
# Exits with 1 if downloads are served less than a quarter as often as all requests, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/fulmarhinge ] && [ -x target/review/downloads ] || exit 2
exec target/review/downloads
