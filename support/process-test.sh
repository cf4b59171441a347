#!/usr/bin/env bash
# Tests with real processes, checked by `load` and by counters of the fake
# servers.
#
#   process-test.sh SCENARIO
#
# Scenarios: kill-entry, kill-agent, kill-engine, freeze-agent, freeze-platform,
# drain, planned-stop, stop-place, rack-returns, races, lost-answer,
# frozen-keeper, hostile, organisations, settings
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
SCENARIO=${1:?a scenario is needed}
EXAMPLE=lernwerk
WORK=$(mktemp -d)
# The scenario's name selects one of eight port ranges, so that scenarios with
# different ranges can run at the same time.
BASE_PORT=$((24000 + 1000 * ($(printf %s "$SCENARIO" | cksum | cut -d' ' -f1) % 8)))
. "$ROOT/support/deployment.sh"
trap 'stop_deployment; rm -rf "$WORK"' EXIT

fail() {
  echo "$SCENARIO: failed: $1"
  tail -n 8 "$WORK"/*.log
  exit 1
}

up() { # ENTRIES ENGINES PLAINS
  start_deployment "$EXAMPLE" "$1" "$2" "$3" >/dev/null || fail start
  roll_out "$ROOT/examples/$EXAMPLE/bundle.json" >/dev/null || fail roll-out
  wait_until_serving "$EXAMPLE" || fail "not serving"
}

figure() { # NAME: prints a value from the summary of the last load run
  sed -n "s/.* *\b$1=\([0-9]*\).*/\1/p" "$WORK/load.out"
}

start_load() { # FLAGS...
  run_load --progress=false --max_tokens 150 --rate 25 "$@" \
    >"$WORK/load.out" 2>&1 &
  LOAD=$!
}

# Waits for the load run; fails on a violation or if fewer than COUNT responses
# were complete.
finish_load() { # COUNT
  wait "$LOAD"
  local code=$?
  cat "$WORK/load.out"
  [ $code = 0 ] || fail "load found violations"
  [ "$(figure whole)" -ge "$1" ] || fail "fewer than $1 whole answers"
}

assert_no_invariant_failed() {
  ! grep -hs "invariant failed" "$WORK"/*.log || fail "an invariant failed"
}

ask() { # ENTRY CREDENTIAL BODY CURL-FLAGS...
  local entry=$1 credential=$2 body=$3
  shift 3
  curl -s "http://$entry/v1/generations" \
    -H "Authorization: Bearer $credential" -d "$body" "$@"
}

bundle_with() { # VERSION MAXOPEN: prints the example's bundle with these values
  sed "s/\"version\": 1,/\"version\": $1,/; 0,/\"maxOpen\": [0-9]*/s//\"maxOpen\": $2/" \
    "$ROOT/examples/$EXAMPLE/bundle.json"
}

version_of() { # URL
  curl -s "http://$1/metrics" |
    sed -n 's/drumlanding_document_version{document="bundle"} //p'
}

# Waits until all entries and two agents report the version; fails after 11 s,
# the time within which a new bundle is promised to be in force.
wait_for_version() { # VERSION
  local i url all
  for ((i = 0; i < 110; i++)); do
    all=1
    for url in "${ENTRIES[@]}" "127.0.0.1:$(port 301)" "127.0.0.1:$(port 302)"; do
      [ "$(version_of "$url")" = "$1" ] || all=0
    done
    [ $all = 1 ] && return 0
    sleep 0.1
  done
  return 1
}

case $SCENARIO in
kill-entry)
  up 2 2 2
  start_load --seconds 10 --call_part 0.1
  sleep 4
  kill -KILL "${PID_OF[entry-1]}"
  sleep 1
  start_entry 1 hall-a
  finish_load 100
  ;;
kill-agent)
  up 2 2 2
  start_load --seconds 10
  sleep 4
  kill -KILL "${PID_OF[tutor-llm-1]}" "${PID_OF[lernapp-1]}"
  sleep 1
  start_agent tutor-llm-1 1 tutor-llm engine hall-a "${ENGINES[0]}"
  start_agent lernapp-1 101 lernapp plain hall-a "${SERVICES[0]}"
  finish_load 60
  ;;
kill-engine)
  up 2 2 2
  start_load --seconds 10
  sleep 4
  kill -KILL "${PID_OF[engine-1]}"
  sleep 2
  start_engine 1
  finish_load 60
  ;;
freeze-agent)
  up 2 2 2
  start_load --seconds 10
  sleep 3
  kill -STOP "${PID_OF[tutor-llm-1]}"
  sleep 4
  kill -CONT "${PID_OF[tutor-llm-1]}"
  finish_load 100
  ;;
freeze-platform)
  up 2 2 2
  start_load --seconds 10
  sleep 2
  kill -STOP "${PID_OF[platform]}"
  finish_load 150
  ;;
drain)
  # The platform's list marks a VM as leaving; its engine receives no new work
  # after 3 s.
  up 2 2 2
  start_load --seconds 12 --call_part 0
  sleep 3
  VMS[2]=$(vm_json tutor-llm-1 agent tutor-llm hall-a "127.0.0.1:$(port 101)" leaving)
  publish_vms
  sleep 3
  before=$(curl -s "http://${ENGINES[0]}/v1/test/started" | tr ',' '\n' | wc -l)
  sleep 4
  after=$(curl -s "http://${ENGINES[0]}/v1/test/started" | tr ',' '\n' | wc -l)
  [ "$before" = "$after" ] || fail "new work after 3 s ($before, $after)"
  finish_load 200
  [ "$(figure broken)" = 0 ] || fail "a stream was cut off"
  ;;
planned-stop)
  # Restarts the engine agents one after another under load.
  up 3 3 3
  start_load --seconds 20 --call_part 0
  for n in 1 2 3; do
    sleep 2
    kill -TERM "${PID_OF[tutor-llm-$n]}"
    wait "${PID_OF[tutor-llm-$n]}" || fail "agent $n did not stop well"
    start_agent "tutor-llm-$n" "$n" tutor-llm engine hall-a "${ENGINES[n - 1]}"
  done
  finish_load 300
  [ "$(figure broken)" = 0 ] || fail "a stream was cut off"
  [ "$(figure unanswered)" = 0 ] || fail "a caller got no answer"
  ;;
stop-place)
  # Stops all processes of one place at once: its entry, an engine's agent and a
  # plain service's agent. Requests in flight still complete.
  up 3 3 3
  run_load --entries "${ENTRIES[0]}" --rate 15 --seconds 3 --max_tokens 400 \
    --call_part 0 --drop_part 0 --progress=false >"$WORK/place.out" 2>&1 &
  place=$!
  start_load --entries "${ENTRIES[1]},${ENTRIES[2]}" --seconds 12 --call_part 0
  sleep 4
  kill -TERM "${PID_OF[entry-1]}" "${PID_OF[tutor-llm-1]}" "${PID_OF[lernapp-1]}"
  wait "$place" || fail "load of the place found violations"
  cat "$WORK/place.out"
  grep -q " broken=0 unanswered=0 " "$WORK/place.out" || fail "a stream was cut off"
  for name in entry-1 tutor-llm-1 lernapp-1; do
    wait "${PID_OF[$name]}" || fail "$name did not stop well"
  done
  finish_load 150
  [ "$(figure broken)" = 0 ] || fail "a stream was cut off"
  [ "$(figure unanswered)" = 0 ] || fail "a caller got no answer"
  ;;
rack-returns)
  # Half of the agents are paused together and resumed together, before the
  # entries stop retrying after lost replies; no stream may be interrupted.
  up 2 4 2
  start_load --seconds 14 --call_part 0
  sleep 3
  kill -STOP "${PID_OF[tutor-llm-1]}" "${PID_OF[tutor-llm-3]}"
  sleep 3
  kill -CONT "${PID_OF[tutor-llm-1]}" "${PID_OF[tutor-llm-3]}"
  finish_load 250
  [ "$(figure broken)" = 0 ] || fail "a stalled stream was given up"
  ;;
races)
  # Two operators roll out different bundles at the same time.
  up 2 2 2
  for n in 1 2; do
    bundle_with 2 "10$n" >"$WORK/b$n.json"
    sign_bundle "$WORK/b$n.json" "$WORK/s$n.json" >/dev/null || fail sign
  done
  for n in 1 2; do
    "$BUILD/drumlandingctl" bundle roll-out "$WORK/s$n.json" \
      --platform "$PLATFORM" >"$WORK/r$n.out" 2>&1 &
    racers[n]=$!
  done
  wins=0
  for n in 1 2; do
    wait "${racers[n]}" && wins=$((wins + 1)) && winner=$n
  done
  [ $wins = 1 ] || fail "$wins operators won"
  cat "$WORK/r$((3 - winner)).out"
  grep -q "in force -> yours: .*maxOpen" "$WORK/r$((3 - winner)).out" ||
    fail "the other was not told what differs"
  wait_for_version 2 || fail "not in force in 11 s"
  ;;
lost-answer)
  # A compare-and-swap succeeds but its response is lost; later the store is
  # down.
  up 2 2 2
  bundle_with 2 77 >"$WORK/b.json"
  sign_bundle "$WORK/b.json" "$WORK/s.json" >/dev/null || fail sign
  curl -s "http://$PLATFORM/v1/test/faults?lose=1" >/dev/null
  # The write of a plan leader can hit the injected fault instead; the roll-out
  # succeeds in both cases.
  "$BUILD/drumlandingctl" bundle roll-out "$WORK/s.json" \
    --platform "$PLATFORM" || fail "roll-out"
  wait_for_version 2 || fail "not in force in 11 s"
  curl -s "http://$PLATFORM/v1/test/faults?down=1" >/dev/null
  # During the outage, a restarted agent receives the bundle from its peers.
  kill -KILL "${PID_OF[tutor-llm-1]}"
  sleep 0.5
  start_agent tutor-llm-1 1 tutor-llm engine hall-a "${ENGINES[0]}"
  wait_for_version 2 || fail "the restarted agent did not learn it"
  # An old version is refused.
  curl -s "http://$PLATFORM/v1/test/faults?down=0" >/dev/null
  "$BUILD/drumlandingctl" bundle roll-out "$WORK/signed.json" \
    --platform "$PLATFORM" && fail "an old version was rolled out"
  wait_for_version 2 || fail "version 2 is gone"
  ;;
frozen-keeper)
  # The holder of the plan lease is paused until after the lease has expired,
  # then resumed.
  up 2 2 2
  keeper=entry-1
  grep -q "lease taken" "$WORK/entry-2.log" && keeper=entry-2
  other=entry-$((3 - ${keeper#entry-}))
  kill -STOP "${PID_OF[$keeper]}"
  for ((i = 0; i < 200; i++)); do
    grep -q "lease taken" "$WORK/$other.log" && break
    sleep 0.1
  done
  grep -q "lease taken" "$WORK/$other.log" || fail "nobody took the lease"
  kill -CONT "${PID_OF[$keeper]}"
  for ((i = 0; i < 100; i++)); do
    grep -q "lease lost" "$WORK/$keeper.log" && break
    sleep 0.1
  done
  grep -q "lease lost" "$WORK/$keeper.log" || fail "it still believes it"
  start_load --seconds 3
  finish_load 40
  ;;
hostile)
  up 1 1 1
  # Sends random bytes and truncated requests to every port.
  for p in 11 41 101 301 201 401; do
    for n in 1 2 3 4 5 6; do
      head -c $((n * 700)) /dev/urandom |
        timeout 1 bash -c "cat >/dev/tcp/127.0.0.1/$(port $p)" 2>/dev/null
      printf 'POST /v1/generations HTTP/1.1\r\nContent-Length: 999\r\n\r\n{"mo' |
        timeout 1 bash -c "cat >/dev/tcp/127.0.0.1/$(port $p)" 2>/dev/null
    done
  done
  # Requests with an unknown control key are not answered.
  "$BUILD/drumlandingctl" bundle status --platform "$PLATFORM" \
    --control_key "$("$BUILD/drumlandingctl" control-key)" |
    grep -q "no answer" || fail "a stranger was answered"
  # A bundle signed with an untrusted author key is refused.
  "$BUILD/drumlandingctl" keygen "$WORK/stranger" >/dev/null
  bundle_with 2 55 >"$WORK/b.json"
  "$BUILD/drumlandingctl" bundle sign "$WORK/b.json" --role author \
    --key "$WORK/stranger.key" --out "$WORK/s.json" >/dev/null
  "$BUILD/drumlandingctl" bundle sign "$WORK/s.json" --role approver \
    --key "$WORK/approver.key" >/dev/null
  "$BUILD/drumlandingctl" bundle roll-out "$WORK/s.json" --platform "$PLATFORM"
  for ((i = 0; i < 50; i++)); do
    grep -q "refused a bundle" "$WORK/entry-1.log" && break
    sleep 0.1
  done
  grep "refused a bundle" "$WORK/entry-1.log" || fail "not refused"
  [ "$(version_of "${ENTRIES[0]}")" = 1 ] || fail "a stranger's bundle is in force"
  start_load --seconds 3
  finish_load 40
  ;;
settings)
  expect_two() { # WHAT COMMAND...
    local what=$1 out code
    shift
    out=$("$@" 2>&1)
    code=$?
    [ $code = 2 ] || fail "$what: exit $code, $out"
    [ "$(echo "$out" | wc -l)" = 1 ] || fail "$what: not one line: $out"
    echo "$what: $out"
  }
  expect_two "unknown flag" "$BUILD/drumlanding-entry" --nonsense 1
  make_keys
  expect_two "no name" "$BUILD/drumlanding-entry"
  expect_two "bad address" "$BUILD/drumlanding-entry" --name e --place p \
    --failure_domain d --control_listen localhost:1
  expect_two "no failure domain" "$BUILD/drumlanding-agent" --name e --place p
  expect_two "bad number" "$BUILD/drumlanding-agent" --worker_threads many
  expect_two "bad environment" env DRUMLANDING_WORKER_THREADS=x \
    "$BUILD/drumlanding-entry"
  expect_two "unknown command" "$BUILD/drumlandingctl" launch
  expect_two "bad key" env DRUMLANDING_CONTROL_KEY=zz \
    "$BUILD/drumlanding-entry" --name e --place p --failure_domain d \
    --control_listen 127.0.0.1:1
  # docs/OPERATORS.md names every log component and every metric.
  for word in $(grep -rhoE '"(entry|agent)\.[a-z]+"' "$ROOT/src" | tr -d '"' | sort -u) \
    $(sed -n 's/^    {"\([a-z_]*\)",.*/\1/p' "$ROOT/src/base/metrics.cc"); do
    grep -q "\`$word" "$ROOT/docs/OPERATORS.md" || fail "docs/OPERATORS.md lacks $word"
  done
  # The bundles in examples/ are valid.
  for example in lernwerk pwani; do
    "$BUILD/drumlandingctl" bundle check "$ROOT/examples/$example/bundle.json" ||
      fail "examples/$example"
  done
  # docs/OPERATORS.md lists every flag with its default.
  for program in drumlanding-entry drumlanding-agent drumlandingctl \
    drumlanding-gateway; do
    "$BUILD/$program" --help | sed -n 's/^  --\([a-z_]*\) (\([a-z0-9]*\), default \(.*\), DRUML.*/\1 \3/p' |
      while read -r flag default; do
        grep -qF "| \`--$flag\` | $default |" "$ROOT/docs/OPERATORS.md" ||
          { echo "docs/OPERATORS.md lacks --$flag with default $default"; exit 1; }
      done || fail "the operators' page is stale"
  done
  ;;
organisations)
  up 1 1 1
  one=example-credential-tutors-rosenheim other=example-credential-parents-council
  entry=${ENTRIES[0]}
  expect() { # WHAT STATUS REASON CURL-ARGS...
    local what=$1 status=$2 reason=$3 got
    shift 3
    got=$(curl -s -D "$WORK/head" -o "$WORK/body" -w '%{http_code}' "$@")
    [ "$got" = "$status" ] && grep -q "\"$reason\"" "$WORK/body" &&
      grep -qi "drumlanding-verdict: not-run" "$WORK/head" ||
      fail "$what: $got $(cat "$WORK/body")"
    echo "$what: $got $(cat "$WORK/body")"
  }
  url=http://$entry/v1/generations
  expect "bad credential" 401 unknown-organisation "$url" \
    -H "Authorization: Bearer nobody" -d '{"model":"tutor-llm","prompt":"x"}'
  auth="Authorization: Bearer $one"
  expect "malformed JSON" 400 malformed-request "$url" -H "$auth" -d '{"model"'
  expect "unknown member" 400 malformed-request "$url" -H "$auth" -d '{"modle":"x"}'
  expect "unknown model" 404 unknown-model "$url" -H "$auth" -d '{"model":"gpt","prompt":"x"}'
  head -c 300000 /dev/zero | tr '\0' 'x' >"$WORK/big"
  printf '{"model":"tutor-llm","prompt":"%s"}' "$(cat "$WORK/big")" >"$WORK/big.json"
  expect "oversized body" 413 body-too-large "$url" -H "$auth" -d "@$WORK/big.json"
  expect "no key" 400 malformed-request "http://$entry/v1/services/lernapp/x" -H "$auth" -d '{}'
  expect "unknown service" 404 unknown-service "http://$entry/v1/services/none/x" \
    -H "$auth" -H "Drumlanding-Repeatable: true" -d '{}'
  # A stream of another organisation is reported as not found.
  ask "$entry" "$one" '{"model":"tutor-llm","prompt":"x","maxTokens":300}' \
    -N -D "$WORK/stream.head" -o "$WORK/stream.body" &
  asker=$!
  for ((i = 0; i < 50; i++)); do
    grep -qi drumlanding-generation "$WORK/stream.head" 2>/dev/null && break
    sleep 0.1
  done
  id=$(sed -n 's/^[Dd]rumlanding-[Gg]eneration: \([^\r]*\).*/\1/p' "$WORK/stream.head")
  [ -n "$id" ] || fail "no id"
  expect "other's stream" 404 not-found "$url/$id" -H "Authorization: Bearer $other"
  expect "other's cancel" 404 not-found -X DELETE "$url/$id" -H "Authorization: Bearer $other"
  [ "$(curl -s -o /dev/null -w '%{http_code}' -X DELETE "$url/$id" -H "$auth")" = 204 ] ||
    fail "own cancel"
  wait $asker
  grep -q '"cancelled"' "$WORK/stream.body" || fail "the stream did not end"
  ;;
*)
  fail "no such scenario"
  ;;
esac
assert_no_invariant_failed
echo "$SCENARIO: ok"
