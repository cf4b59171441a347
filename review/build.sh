#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into build/review. Needs only
# the compiler and the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=build/review
mkdir -p "$out"
shared=()
cases=()
pids=()
compile() { # SOURCE OBJECT
  g++ -std=c++20 -O1 -Wall -pthread -c "$1" -o "$2" &
  pids+=($!)
}
for source in review/*.cc; do
  object=$out/shared-$(basename "$source" .cc).o
  shared+=("$object")
  compile "$source" "$object"
done
for source in review/[0-9]*/case.cc; do
  n=$(basename "$(dirname "$source")")
  cases+=("$n")
  compile "$source" "$out/case-$n.o"
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for n in "${cases[@]}"; do
  g++ -pthread -o "$out/case-$n" "$out/case-$n.o" "${shared[@]}"
done
