#!/usr/bin/env bash
# Builds with a sanitizer and runs the tests of the edge folders and the
# integration tests. Prints all reports and fails if there are any.
#   tests/sanitizers.sh thread|address [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
KIND=${1:?thread or address}
export BUILD_DIR=${2:-build-$KIND}
CMAKE_ARGS=-DCURRANTGAUGE_SANITIZE=$KIND ./build.sh >"$BUILD_DIR.log" 2>&1 || { tail -50 "$BUILD_DIR.log"; exit 1; }
REPORTS=$(mktemp -d)
trap 'rm -rf "$REPORTS"' EXIT
export TSAN_OPTIONS="suppressions=$PWD/cmake/tsan.supp ignore_noninstrumented_modules=1 history_size=7 log_path=$REPORTS/report"
# The node exits by _Exit() without freeing its threads' memory, which would be
# reported as leaks.
export ASAN_OPTIONS="detect_leaks=0 log_path=$REPORTS/report"
FAILED=0
for TEST in actions telemetry http runtime peer platform cli integration; do
  START=$SECONDS
  "$BUILD_DIR/${TEST}_test" >"$REPORTS/out" 2>&1 || { FAILED=1; cat "$REPORTS/out"; }
  echo "$KIND sanitizer, ${TEST}_test: $((SECONDS - START)) s, $(sed -n 's/.*test cases: *//p' "$REPORTS/out")"
done
if compgen -G "$REPORTS/report*" >/dev/null; then
  cat "$REPORTS"/report*
  FAILED=1
fi
exit "$FAILED"
