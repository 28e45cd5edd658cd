#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The build line of the deploy file builds the gateway.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/cornelyard-review ./review/standin
