#!/usr/bin/env bash
# End-to-end benchmark: starts N_ENTRIES entries and N_ENGINES engines with
# agents, keeps STREAMS streams open for SECONDS_OF_LOAD seconds and prints the
# results of `load`. Example:
#   N_ENTRIES=3 N_ENGINES=9 STREAMS=200 support/stream-run.sh
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
WORK=$(mktemp -d)
BASE_PORT=${BASE_PORT:-22000}
EXAMPLE=${EXAMPLE:-lernwerk}
N_ENTRIES=${N_ENTRIES:-3} N_ENGINES=${N_ENGINES:-9} STREAMS=${STREAMS:-200}
. "$ROOT/support/deployment.sh"
trap 'stop_deployment; rm -rf "$WORK"' EXIT
start_deployment "$EXAMPLE" "$N_ENTRIES" "$N_ENGINES" 3 &&
  roll_out "$ROOT/examples/$EXAMPLE/bundle.json" &&
  wait_until_serving "$EXAMPLE" || { tail -n 3 "$WORK"/*.log; exit 1; }
sleep 6 # agents refuse keys from before their start plus 5 s of clock skew
run_load --streams "$STREAMS" --seconds "${SECONDS_OF_LOAD:-20}" \
  --max_tokens "${MAX_TOKENS:-400}" --call_part "${CALL_PART:-0.2}" "$@"
