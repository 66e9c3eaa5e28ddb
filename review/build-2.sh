#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/, beside the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
