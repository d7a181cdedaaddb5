#!/usr/bin/env bash
# Builds the stand-ins of all cases.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review/standins .
