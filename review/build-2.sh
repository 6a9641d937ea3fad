#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/4 and above start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-harness ./review/harness
