#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript and need no build; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.js [0-9]*/*.js; do
  [ -e "$file" ] && node --check "$file"
done
