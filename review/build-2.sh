#!/bin/sh
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stage ./review/stage
