#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -eu
packages=(g++ cmake ninja-build ccache curl bc clang-format clang-tidy
  libboost1.81-dev libnng-dev prometheus-cpp-dev libgflags-dev libspdlog-dev
  nlohmann-json3-dev libprotobuf-dev protobuf-compiler libsodium-dev
  librapidcheck-dev libxxhash-dev libgtest-dev libbenchmark-dev)
missing=()
for p in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q "ok installed" ||
    missing+=("$p")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
for try in 1 2 3 4 5; do
  if $sudo apt-get update -q &&
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -q -y \
      --no-install-recommends "${missing[@]}"; then
    exit 0
  fi
  echo "install: try $try failed, waiting" >&2
  sleep $((try * 10))
done
exit 1
