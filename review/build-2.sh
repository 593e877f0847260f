#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig-2 ./review/rig2
