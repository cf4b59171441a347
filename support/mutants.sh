#!/usr/bin/env bash
# Mutation test: applies one mutation at a time to a copy of the source and
# prints which layer of tests detects it: unit tests, random runs or the soak.
#
#   mutants.sh                       # all mutants, unit tests and random runs
#   mutants.sh --soak-seconds 45     # also runs the soak, seed 501, on each
#   mutants.sh forbidden-retry ...   # only the named mutants
#
# The last line counts the mutants that no layer detected, that did not build or
# whose pattern did not match; the exit code is 1 if there are any.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
SOAK_SECONDS=0
if [ "${1:-}" = --soak-seconds ]; then
  SOAK_SECONDS=$2
  shift 2
fi
UNITS=(gateway-test platform-test sidecar-test forwarding-test store-session-test
  request-limit-test quarantine-test query-of-death-test endless-response-test
  part-quarantine-test prompt-part-test connection-limit-test
  truncated-response-test malformed-response-test large-request-test)
PROGRAMS=(drumlanding-gateway drumlanding-sidecar fake-platform soak)
SOAK_SEED=501

# name | file | Perl substitution over the whole file
MUTANTS=$(cat <<'LIST'
forbidden-retry|include/drumlanding/gateway/attempt-policy.h|s/s\.Kind == RequestKind::Idempotent \|\|/true ||/
not-run-unproven|include/drumlanding/gateway/attempt-policy.h|s/if \(isProven && !s\.MayHaveRun\)/if (true)/
older-config-taken|src/gateway/gateway-context.cc|s/version <= Routes->config\(\)\.Version/version == Routes->config().Version/
leaving-server-chosen|src/gateway/directory.cc|s/if \(server\.IsLeaving \|\| server\.Listed\.Service != service\)/if (server.Listed.Service != service)/
silent-watch-kept|platform/store.cc|s/wait \+ WatchTimeoutMargin,/wait + 100 * WatchTimeoutMargin,/
early-end-looks-whole|src/gateway/stream-forwarder.cc|s/  if \(Run->Events\.hasPartialEvent\(\)\)\n    co_return false;\n//
sidecar-notice-lost|src/gateway/gossip.cc|s/  Ctx\.Servers\.applyNotice\(now, fromWire\(message\.notice\(\)\)\);\n//
unreadable-entry-hides-others|platform/store-reader.cc|s/    changes\.Changes\.push_back\(std::move\(change\)\);/    if (!change.Problem.empty())\n      return base::invalid("servers", change.Problem);\n    changes.Changes.push_back(std::move(change));/
announced-server-used-at-once|src/gateway/directory.cc|s/    if \(!server\.IsListed && !mayHaveExpired\(now\)\)\n      continue;\n//
plain-server-announced|src/sidecar/sidecar.cc|s/  if \(!IsEngine && !EngineId\.empty\(\)\) \{\n    IsEngine = true;/  if (true) {/; s/  EngineId = id;\n/  EngineId = id;\n  IsEngine = true;\n  ReportRequestedAt = Clock.now().Steady;\n/
life-confused|src/gateway/directory.cc|s/return a\.count\(\) > 0 && b\.count\(\) > 0 && a < b;/return false \&\& a < b;/
own-loss-is-outage|src/gateway/gossip.cc|s/if \(message\.watches_list\(\)\)\n/if (false)\n/
no-grace-after-outage|src/gateway/directory.cc|s/return now < GraceUntil \|\| now - StoreContactAt >= ExpiryTime;/return false \&\& now < GraceUntil;/
older-change-taken|src/gateway/directory.cc|s/return revision != 0 && revision < server\.Revision;/return false \&\& revision < server.Revision;/
retry-budget-ignored|src/gateway/retry-budget.cc|s/(size\(\)\) \+ 1 > allowed\))/size()) > 1e9 + allowed)/
no-organisation-needs-no-key|include/drumlanding/gateway/routes.h|s/return Current\.Organisations\.has_value\(\);/return Current.Organisations \&\& !Current.Organisations->empty();/
unknown-key-accepted|src/gateway/forwarder.cc|s/return plainTextResponse\(401, "The key is missing or unknown\.\\n"\);/(void)0;/
foreign-answer-passed|platform/protocol-codec.cc|s/answer\.MatchesAttempt = head\.header\(header::AttemptId\) == request\.AttemptId;/answer.MatchesAttempt = true;/
stop-waits-for-nothing|src/gateway/shell.cc|s/while \(Ctx\.OpenRequests > 0 && Ctx\.now\(\) < Ctx\.stopDeadline\(\)\);/while (false);/
duration-limits-transfer|src/http/client.cc|s/timeouts\.Idle, MaxResponseBytes/std::nullopt, MaxResponseBytes/
config-transferred-twice|src/gateway/gossip.cc|s/peer && !Ctx\.StoreTransfer\.isActive\(now\)/peer/
limit-ignored|src/gateway/request-limits.cc|s/if \(limit->Tokens >= 1\)/if (true)/
limits-not-reported|src/gateway/gossip.cc|s/\*message\.add_limits\(\) = toWire\(report\);/(void)report;/g
other-sends-not-counted|src/gateway/request-limits.cc|s/ \* recent\);/ * 0 * recent);/
silent-gateways-forgotten|src/gateway/request-limits.cc|s/std::clamp\(AvailableShare\(now\), MinShare, 1\.0\)/1.0 + 0 * MinShare/
limit-never-ends|src/gateway/request-limits.cc|s/  if \(!seen\.RequestsPerSecond\) \{/  if (!seen.RequestsPerSecond) {\n    return;/
migration-not-counted|src/gateway/migrator.cc|s/    countTowardsLimit\(Ctx, to\.Listed\.Id\);\n//
lost-final-copy-forgotten|src/gateway/final-copy.cc|s/return before;/return RunState::Running;/
quarantine-ignored|src/gateway/quarantine.cc|s/if \(ends >= MaxEndedServers\)/if (ends > 1000)/
ends-not-reported|src/gateway/gossip.cc|s/\*message\.add_suspects\(\) = toWire\(report\);/(void)report;/g
claims-ignored|src/gateway/suspect-requests.cc|s/\|\| holdsClaim\(f, now\)/|| true/
restart-taken-for-survival|src/gateway/quarantine.cc|s/return response\.ReceivedAt - end\.ObservedAt < MinRestartTime;/return true;/
served-request-not-cleared|src/gateway/quarantine.cc|s/  suspect\.ClearedAt = servedAt;\n//
closed-connection-not-verified|src/gateway/suspect-requests.cc|s/  if \(\*kind == EndKind::Closed\)\n    scheduleVerification\(f\.Ctx, server\);\n/  (void)scheduleVerification;\n/
isolated-share-forgotten|src/gateway/peers.cc|s/SharedBudgetTimeout\{300\}/SharedBudgetTimeout{15}/
part-quarantine-ignored|src/gateway/forwarded-request.cc|s/if \(f\.Ctx\.SuspectParts\.isQuarantined\(part\)\)/if (false)/
refusal-forgotten|src/gateway/quarantine.cc|s/      end\.IsConfirmed = true;\n//
part-ends-not-reported|src/gateway/gossip.cc|s/\*message\.add_suspect_parts\(\) = toWire\(report\);/(void)report;/g
parts-of-all-organisations|src/gateway/request-fingerprint.cc|s/  addPart\(state, organisation\);\n  addPart\(state, part\);/  (void)organisation;\n  addPart(state, part);/
other-explanations-ignored|src/gateway/part-quarantine.cc|s/return explained\.contains\(keyOf\(end\)\);/return false \&\& explained.contains(keyOf(end));/
failed-write-forgotten|src/http/connection.cc|s/WriteError = ec;/(void)ec;/
undelimited-end-is-completion|src/http/connection.cc|s/!Parser->need_eof\(\) \|\| Parser->is_done\(\)/true/
limits-of-an-idle-connection|src/http/server.cc|s/const CallerLimits limits = currentLimits\(\);\n//; s/const base::milliseconds idleTimeout = currentLimits\(\)\.IdleTimeout;/const CallerLimits limits = currentLimits();\n  const base::milliseconds idleTimeout = limits.IdleTimeout;/
idle-close-loses-request|src/http/server.cc|s/connection->Stream\.cancel\(\);/connection->Stream.close();/
body-memory-ignored|src/http/body-budget.cc|s/ReservedBytes \+ bytes <= Options\.MaxBytes/true/
body-waits-without-end|src/http/body-budget.cc|s/ && Clock::now\(\) < expiry//
overload-accepted|src/gateway/load-shedder.cc|s/if \(IsOverloaded && /if (false \&\& /
body-without-limit|src/gateway/forwarded-request.cc|s/co_return memory\.grow\(bytes\);/co_return true;/
caller-position-replaced|src/gateway/stream-forwarder.cc|s/from\.LastEventId = Run->Events\.lastId\(\);/from.LastEventId = Run->Events.lastId().value_or(0);/
reset-taken-by-a-send|src/http/connection.cc|s/while \(IsSending && isFullyClosed/while (false \&\& isFullyClosed/
abort-wakes-nobody|src/gateway/forwarded-request.cc|s/  closeConnection\(\);\n  notify\(\);/  closeConnection();/
any-status-taken|src/http/message-head.cc|s/if \(!isValidStatus\(head\.result_int\(\)\)\)/if (false)/
folded-lines-joined|src/http/message-head.cc|s/if \(hasFoldedLine\(/if (false \&\& hasFoldedLine(/
late-request-of-a-stop-taken|src/gateway/forwarder.cc|s/return end > Ctx\.stopDeadline\(\);/return false \&\& end > Ctx.stopDeadline();/
exit-answers-nobody|src/gateway/shell.cc|s/    RequestForwarder\.abortAll\(AbortReason::Stopping\);\n//
kept-after-a-stop|src/http/server.cc|s/KeepAlive = KeepAlive && !ClosesAfterResponses;//
late-timeout-acts|src/http/server.cc|s/if \(aborted \|\| !expired\)\n      return;\n    \*expired = true;/if (aborted)\n      return;/
incomplete-requests-never-closed|src/http/connection-table.cc|s/firstOf\(Phase::Receiving, owner\);/nullptr;/
request-memory-not-bounded|src/http/connection-table.cc|s/RequestBytes > Options\.MaxRequestBytes/false/
closed-request-counted-twice|src/http/connection-table.cc|s/    RequestBytes -= countedBytes\(entry\.Bytes\);\n//
limit-lowered-to-nothing|src/http/connection-table.cc|s/std::max\(lowered, least\)/lowered * (least > 0)/
waiting-responses-wake-nobody|include/drumlanding/gateway/response-memory.h|s/    wake\(\);/    (void)wake;/
peers-without-bound|src/gateway/peers.cc|s/ \|\| Contacts\.size\(\) >= MaxContacts//
LIST
)

WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
git -C "$ROOT" archive HEAD | tar -x -C "$WORK"
cmake -S "$WORK" -B "$WORK/build" -G Ninja >"$WORK/cmake.log" 2>&1 || exit 2

unit() {
  local t
  for t in "${UNITS[@]}"; do
    timeout 240 "$WORK/build/$t" >"$WORK/$t.log" 2>&1 || {
      echo "$t"
      return
    }
  done
}

random() {
  timeout 120 "$WORK/build/gateway-random-test" >"$WORK/random.log" 2>&1 ||
    echo gateway-random-test
}

soak() {
  [ "$SOAK_SECONDS" -gt 0 ] || return
  mkdir -p "$WORK/soak"
  "$WORK/build/soak" --programs "$WORK/build" --work "$WORK/soak" \
    --seed $SOAK_SEED --seconds "$SOAK_SECONDS" --base_port 31000 \
    >"$WORK/soak.log" 2>&1 || echo soak
}

missed=0
while IFS='|' read -r name file change; do
  [ $# -eq 0 ] || [[ " $* " == *" $name "* ]] || continue
  cp "$WORK/$file" "$WORK/original"
  perl -0pi -e "$change" "$WORK/$file"
  if cmp -s "$WORK/original" "$WORK/$file"; then
    echo "$name: the change does not fit the code"
    missed=$((missed + 1))
    continue
  fi
  targets=("${UNITS[@]}" gateway-random-test)
  [ "$SOAK_SECONDS" -gt 0 ] && targets+=("${PROGRAMS[@]}")
  if ninja -C "$WORK/build" "${targets[@]}" >"$WORK/build.log" 2>&1; then
    by="unit:$(unit) random:$(random) soak:$(soak)"
    echo "$name: $by"
    [ "$by" = "unit: random: soak:" ] && missed=$((missed + 1))
  else
    echo "$name: does not build"
    tail -5 "$WORK/build.log"
    missed=$((missed + 1))
  fi
  cp "$WORK/original" "$WORK/$file"
done <<<"$MUTANTS"
echo "$missed not caught"
[ "$missed" -eq 0 ]
