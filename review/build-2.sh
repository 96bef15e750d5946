#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the second review, with all
# stand-ins, into target/. The project's own program is built by the command of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/lab2
