#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-2/platform"
GOWORK=off go build -o ../../../target/review-2/standins .
