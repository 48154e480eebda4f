#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: one program, of the standard library
# alone. jacinthd itself is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -o ../../target/review/standin .
