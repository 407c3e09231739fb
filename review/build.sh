#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases. The programs themselves are built by the command of
# the deploy file. It needs no network once the modules of that build are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-driver ./review/driver
