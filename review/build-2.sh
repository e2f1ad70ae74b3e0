#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: those of platform/soak, with the packages they use.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform
