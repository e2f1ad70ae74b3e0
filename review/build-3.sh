#!/bin/sh
# The cases 11 to 13 start the program of the deploy file and the stand-ins of review/standins-3, which run as they are. This
# checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-3/*.mjs review/11/run.mjs review/12/run.mjs review/13/run.mjs; do
  node --check "$file"
done
