#!/bin/sh
# Builds the stand-ins of all cases.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/review-standin .
