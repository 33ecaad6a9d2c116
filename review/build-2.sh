#!/usr/bin/env bash
# Builds the stand-ins of the project that the cases 6 to 10 start; those in stand-ins-2 need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -p . --outDir target/build --tsBuildInfoFile target/build/.tsbuildinfo
