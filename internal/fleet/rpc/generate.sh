#!/usr/bin/env bash
# Regenerates the Go code of this package's .proto files.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative ./*.proto
cd ../../..
go tool gofumpt -w internal/fleet/rpc
