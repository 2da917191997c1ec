#!/bin/sh
# Builds the stand-ins of all cases, from the standard library alone. It runs after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
exec go build -o bin/review-rig ./review/rig
