#!/bin/sh
# Builds the driver of all cases, with every stand-in in it, into bin/review-case. It needs the build of
# deploy/balancer.toml beside it, and nothing from the network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -tags review -o bin/review-case ./review/driver
