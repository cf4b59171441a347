#!/usr/bin/env bash
# Works from a fresh clone: installs dependencies, builds, starts a small
# deployment with fake backend servers on 127.0.0.1, streams one response, runs
# a short load test and stops everything.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
WORK=$(mktemp -d)
BASE_PORT=${BASE_PORT:-21000}
EXAMPLE=${1:-lernwerk}
. "$ROOT/support/deployment.sh"
trap 'stop_deployment; rm -rf "$WORK"' EXIT

fail() {
  echo "demo: failed: $1"
  tail -n 5 "$WORK"/*.log 2>/dev/null
  exit 1
}

"$ROOT/support/install.sh" >"$WORK/install.log" 2>&1 || fail "install"
if [ ! -x "$BUILD/load" ] || [ -z "${SKIP_BUILD:-}" ]; then
  echo "demo: building (the first time takes a few minutes)"
  cmake -S "$ROOT" -B "$BUILD" -G Ninja >"$WORK/build.log" 2>&1 &&
    ninja -C "$BUILD" >>"$WORK/build.log" 2>&1 || fail "build"
fi

echo "demo: starting $EXAMPLE: 2 entries, 3 engines, 3 plain services"
start_deployment "$EXAMPLE" 2 3 3 || fail "start"
roll_out "$ROOT/examples/$EXAMPLE/bundle.json" || fail "roll-out"
wait_until_serving "$EXAMPLE" || fail "not serving"
"$BUILD/drumlandingctl" bundle status --platform "$PLATFORM" \
  --control_key "$DRUMLANDING_CONTROL_KEY" || fail "status"

credential=$(credentials_of "$ROOT/examples/$EXAMPLE/bundle.json")
echo "demo: a caller asks; the answer streams in:"
curl -sN "http://${ENTRIES[0]}/v1/generations" \
  -H "Authorization: Bearer ${credential%%,*}" \
  -d "{\"model\":\"$MODEL\",\"prompt\":\"How do I halve 3/4?\",\"maxTokens\":24}" |
  sed -un 's/^data: "\([a-z]*\)\..*/\1/p' | tr '\n' ' '
echo
# An agent refuses idempotency keys from before its start plus 5 s of clock skew,
# since it cannot tell whether their calls have run.
sleep 6
echo "demo: load for ${SECONDS_OF_LOAD:-5} s"
result=$(run_load --rate 30 --seconds "${SECONDS_OF_LOAD:-5}" --max_tokens 100)
code=$?
echo "$result"
[ $code = 0 ] || fail "load found violations or streams that never ended"
case $result in *" whole=0 "*) fail "no whole answer" ;; esac
echo "demo: ok ${result%% first_token*}"
