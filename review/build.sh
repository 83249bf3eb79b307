#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/reviewkit
