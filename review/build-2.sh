#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOWORK=off go build -o ../../target/review-2/standins2 .
