#!/bin/sh
# Builds the stand-ins of all cases. Run it in any folder, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review ./review/tools
