#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standin2
