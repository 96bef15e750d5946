#!/usr/bin/env bash
# Builds the program that plays the cases, with all stand-ins, into target/. The
# project's own program is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
