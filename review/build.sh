#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into build/review.
set -eu
cd "$(dirname "$0")/.."
out=build/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -pthread -Ireview/stand-ins)
pids=()
for source in review/stand-ins/*.cc review/[0-9]*/case.cc; do
  [ -e "$source" ] || continue
  object=$out/$(dirname "$source" | tr / -)-$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in review/[0-9]*/case.cc; do
  [ -e "$source" ] || continue
  n=$(basename "$(dirname "$source")")
  g++ -pthread -o "$out/case-$n" "$out/review-$n-case.o" \
    "$out"/review-stand-ins-*.o
done
