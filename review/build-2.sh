#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it from the root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-rig2 ./review/rig2
