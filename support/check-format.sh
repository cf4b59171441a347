#!/usr/bin/env bash
# Fails if a source file is not formatted according to .clang-format.
cd "$(dirname "$0")/.." || exit 1
git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.' |
  xargs clang-format --dry-run --Werror
