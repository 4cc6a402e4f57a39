#!/bin/bash
# Builds the project's programs, with the command of the deploy file, and the stand-ins of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
bash -c "$build"
mkdir -p review/bin
go build -tags review -o review/bin/standin ./review/standin
