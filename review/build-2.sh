#!/bin/sh
# Builds the stand-ins of the second review's scripts. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review2 ./review/_standin2
