#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The build of deploy/system.toml comes first.
cd "$(dirname "$0")/.." && exec go build -o target/standin3 ./review/standin3
