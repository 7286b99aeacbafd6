#!/usr/bin/env bash
# Generates currantgauge/peer/generated/ from peer.proto. The generated files are
# committed, so that builds don't need protoc.
set -euo pipefail
cd "$(dirname "$0")/../.."
COPY=$(mktemp -d)
trap 'rm -rf "$COPY"' EXIT
mkdir -p "$COPY/currantgauge/peer/generated" currantgauge/peer/generated
cp currantgauge/peer/peer.proto "$COPY/currantgauge/peer/generated/"
protoc -I "$COPY" --cpp_out=. --grpc_out=. \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  currantgauge/peer/generated/peer.proto
