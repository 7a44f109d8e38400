#!/bin/sh
# Builds the stand-ins that the cases 6 and above start, into target/review-2/. The project's own
# programs are built with the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/stand2/...
