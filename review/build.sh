#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts. It needs only Go, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/platform
GOWORK=off go build -o ../../target/review-cases .
