#!/bin/bash
# Builds the stand-ins of the second review, review/6 to review/10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
go build -tags review -o bin/review-2/ ./review/standins-2
