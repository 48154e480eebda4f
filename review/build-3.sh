#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the project's own program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin-3 && GOWORK=off go build -o ../../target/standin3 .)
