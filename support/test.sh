#!/usr/bin/env bash
# Installs, builds, runs all tests, the formatter and the linter.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
cd "$ROOT" || exit 1

"$ROOT/support/install.sh" || exit 1
cmake -S . -B "$BUILD" -G Ninja || exit 1
ninja -C "$BUILD" || exit 1

echo "== formatter"
support/check-format.sh || exit 1
echo "== linter"
BUILD="$BUILD" support/check-lint.sh || exit 1
echo "== tests"
support/run-tests.sh "$BUILD"
