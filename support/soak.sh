#!/usr/bin/env bash
# Injects faults into real gateways and sidecars and checks the promises.
#
#   soak.sh --seed 7 --minutes 2               # one run
#   soak.sh --seed 100 --runs 50 --jobs 4      # seeds 100 to 149, four in parallel
#   soak.sh --regressions                      # seeds that failed in the past
#   soak.sh --seed 7 -- --gateways 20          # more flags for build/soak
#
# The last line of each run is its summary. If a run violates a promise, its
# directory with settings and logs is kept and its name printed.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
seed=$RANDOM
minutes=1
runs=1
regressions=0
jobs=1
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift 2 ;;
    --minutes) minutes=$2; shift 2 ;;
    --runs) runs=$2; shift 2 ;;
    --jobs) jobs=$2; shift 2 ;;
    --regressions) regressions=1; shift ;;
    --) shift; break ;;
    *) echo "soak.sh: unknown word $1"; exit 2 ;;
  esac
done
FLAGS="$*"
export BUILD FLAGS

one() { # SEED MINUTES
  local seed=$1 seconds work code
  seconds=$(echo "$2 * 60" | bc)
  work=$(mktemp -d)
  # Each seed has its own ports, modulo 1000, so that runs can overlap.
  "$BUILD/soak" --programs "$BUILD" --work "$work" --seed "$seed" \
    --seconds "$seconds" --base_port $((20000 + 10 * (seed % 1000))) $FLAGS \
    >"$work/soak.log" 2>&1
  code=$?
  grep -E " BROKEN |^soak: " "$work/soak.log"
  if [ $code = 0 ]; then
    rm -rf "$work"
  else
    echo "soak: seed $seed failed with $code, logs kept in $work"
  fi
  return $code
}
export -f one

if [ $regressions = 1 ]; then
  grep -v '^#' "$ROOT/test/soak/seeds.txt" | cut -d' ' -f1,2
else
  seq "$seed" $((seed + runs - 1)) | sed "s/$/ $minutes/"
fi | xargs -P "$jobs" -L1 bash -c 'one "$@"' _
