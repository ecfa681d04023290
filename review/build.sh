#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases: the store, the upstreams and the
# clients, all in one program. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -o target/review/harness ./review/harness
