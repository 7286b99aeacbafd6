#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
PACKAGES=(libcaf-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  prometheus-cpp-dev libboost-dev libboost-system-dev libboost-filesystem-dev libgflags-dev
  liblog4cplus-dev doctest-dev libyaml-cpp-dev libxxhash-dev nlohmann-json3-dev libssl-dev
  ninja-build ccache cmake g++ clang-format clang-tidy curl)
if dpkg-query -W -f='${db:Status-Status}\n' "${PACKAGES[@]}" 2>/dev/null | grep -vqx installed ||
  ! dpkg-query -W "${PACKAGES[@]}" >/dev/null 2>&1; then
  SUDO=()
  [ "$(id -u)" = 0 ] || SUDO=(sudo)
  "${SUDO[@]}" apt-get update -q
  "${SUDO[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${PACKAGES[@]}"
fi
