#!/usr/bin/env bash
# Fails when a source file is not formatted as .clang-format says.
cd "$(dirname "$0")/.." || exit 1
git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.' |
  xargs clang-format --dry-run --Werror
