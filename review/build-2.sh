#!/bin/sh
# Builds the stand-ins of the cases of the second review. The build of deploy/system.toml
# comes before it.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/rig2/...
