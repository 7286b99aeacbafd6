#!/usr/bin/env bash
# Builds the programs of the cases into build-review/. A program holds its
# stand-ins of the store, the targets and the clients; the node is the one that
# the build of the deploy file has put into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
CXX=${CXX:-c++}
FLAGS=(-std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -I. -pthread)
mkdir -p build-review
for Part in net lab memory config_change; do
  "$CXX" "${FLAGS[@]}" -c review/lab/$Part.cc -o build-review/$Part.o
done
for Source in review/*/case.cc; do
  Number=$(basename "$(dirname "$Source")")
  "$CXX" "${FLAGS[@]}" "$Source" build-review/{net,lab,memory,config_change}.o -o "build-review/case-$Number"
done
