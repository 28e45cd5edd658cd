#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start: the cases with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/cornelyard-review
go build -o target/cornelyard-review/ ./review/casestatements ./review/caseversions
