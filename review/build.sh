#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-standin ./review/_standin
