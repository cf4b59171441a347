#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the programs of
# deploy/system.toml: stand-ins and clients, one program for each case. Needs
# only the C++ compiler that the build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
for source in review/[6-9]/case.cc review/10/case.cc; do
  [ -e "$source" ] || continue
  name=case-$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    review/standins-2/standins.cc -o "$OUT/$name"
done
