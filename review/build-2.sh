#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs the
# packages of the deploy file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
PIDS=()
for FILE in review/lab-2/*.cc review/*/case-*.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -I. -c "$FILE" -o "$OUT/$(basename "$FILE" .cc).o" &
  PIDS+=($!)
done
for PID in "${PIDS[@]}"; do wait "$PID"; done
for FILE in review/*/case-*.cc; do
  NAME=$(basename "$FILE" .cc)
  g++ -o "$OUT/$NAME" "$OUT/$NAME.o" "$OUT"/{lab,net,store}.o -pthread
done
