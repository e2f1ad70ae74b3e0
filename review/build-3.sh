#!/bin/sh
# The cases 11 and 13 to 15 start the program of the deploy file and the stand-ins of review/standins-3, which run as they are. This
# checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-3/*.mjs review/11/run.mjs review/13/run.mjs review/14/run.mjs review/15/run.mjs; do
  node --check "$file"
done
