#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file: one program with their
# stand-ins for clients, servers, discovery and operators. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review -o bin/review-second ./review/second
