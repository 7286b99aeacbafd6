#!/usr/bin/env bash
# Builds everything into build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
BUILD_DIR=${BUILD_DIR:-build}
cmake -S . -B "$BUILD_DIR" -G Ninja ${CMAKE_ARGS:-} >/dev/null
cmake --build "$BUILD_DIR" -- -j "${JOBS:-$(nproc)}"
