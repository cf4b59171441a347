#!/usr/bin/env bash
# Runs the tests. Failures listed in KNOWN-RED.txt are printed and ignored; all
# others fail the run. A listed test that passes also fails the run, so that its
# line is removed.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${1:-$ROOT/build}
# Tests with real processes and the soak run alone (RUN_SERIAL).
jobs=3
known=()
if [ -f "$ROOT/KNOWN-RED.txt" ]; then
  mapfile -t known < <(grep -v '^#' "$ROOT/KNOWN-RED.txt" | cut -d: -f1)
fi
if [ ${#known[@]} -gt 3 ]; then
  echo "KNOWN-RED.txt lists more than three tests"
  exit 1
fi
code=0
if [ ${#known[@]} -gt 0 ]; then
  pattern=$(IFS='|'; echo "^(${known[*]})$")
  cat "$ROOT/KNOWN-RED.txt"
  if ctest --test-dir "$BUILD" -R "$pattern" -j "$jobs" --output-on-failure; then
    echo "a test that KNOWN-RED.txt lists passes: take its line out"
    code=1
  fi
  ctest --test-dir "$BUILD" -E "$pattern" -j "$jobs" --output-on-failure || code=1
else
  ctest --test-dir "$BUILD" -j "$jobs" --output-on-failure || code=1
fi
exit $code
