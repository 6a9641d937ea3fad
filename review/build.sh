#!/bin/sh
# Builds every stand-in that the scripts of the cases start. The project's own programs are built by deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/case1 ./review/1
go build -o review/bin/case2 ./review/2
