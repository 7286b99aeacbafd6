#!/usr/bin/env bash
# Runs the formatter check, the shape check and the linter on the project's files.
#   ./check.sh           all files
#   ./check.sh FILE...   the linter only on these files
set -euo pipefail
cd "$(dirname "$0")"
BUILD_DIR=${BUILD_DIR:-build}
mapfile -t FILES < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '/generated/')
clang-format --dry-run --Werror "${FILES[@]}"
./cmake/check_shape.sh
if [ $# -gt 0 ]; then SOURCES=("$@"); else
  mapfile -t SOURCES < <(printf '%s\n' "${FILES[@]}" | grep '\.cc$'); fi
# clang-tidy's front end defines only an older feature-test macro for coroutines,
# which libstdc++ and Boost.Asio do not recognize.
COROUTINES=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE)
printf '%s\n' "${SOURCES[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD_DIR" --quiet "${COROUTINES[@]}" 2>"$BUILD_DIR/tidy.err" >"$BUILD_DIR/tidy.log" || {
  cat "$BUILD_DIR/tidy.log"; exit 1; }
echo "formatter, shape and linter: clean (${#SOURCES[@]} sources)"
