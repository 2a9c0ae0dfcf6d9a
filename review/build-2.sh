#!/bin/sh
# Builds the stand-ins and clients of the cases that are scripts (review/cases). The daemon is built
# by the build line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/cases ./review/cases
