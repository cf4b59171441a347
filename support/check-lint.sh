#!/usr/bin/env bash
# Runs clang-tidy on all sources except generated ones. A clean file is checked
# again only if it, a header, .clang-tidy or CMakeLists.txt has changed.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
export BUILD STATE
STATE=$( (cat .clang-tidy CMakeLists.txt; git ls-files -co --exclude-standard \
  '*.h' | sort | xargs cat) | sha256sum | cut -c1-16)
mkdir -p "$BUILD/lint"
check() {
  local mark
  mark=$BUILD/lint/$( (echo "$STATE $1"; cat "$1") | sha256sum | cut -c1-32)
  [ -e "$mark" ] && return 0
  # GCC's coroutine header requires this macro, which clang 14 does not define.
  clang-tidy --quiet -p "$BUILD" \
    --extra-arg=-D__cpp_impl_coroutine=201902L \
    --extra-arg=-Wno-unknown-warning-option "$1" 2>"$mark.log" >"$mark.out"
  local code=$?
  grep -E "(warning|error):" "$mark.out"
  [ $code = 0 ] && touch "$mark"
  rm -f "$mark.log" "$mark.out"
  return $code
}
export -f check
git ls-files -co --exclude-standard '*.cc' | grep -v '\.pb\.' |
  xargs -P "$(nproc)" -I{} bash -c 'check {}'
