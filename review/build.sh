#!/bin/bash
# Builds the stand-ins of the cases into review/bin/. They need no module beyond the standard library.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/stand
