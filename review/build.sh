#!/bin/sh
# Builds the stand-ins and drivers of the cases into target/review/.
cd "$(dirname "$0")/.." || exit 2
go build -tags review -o target/review/ ./review/...
