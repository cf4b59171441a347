#!/usr/bin/env bash
# Measures the overhead of the request path in one run: tokens per second and
# core that one entry forwards, and the latency of a one-token response through
# entry and agent compared with a request sent directly to the engine.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
BASE_PORT=${BASE_PORT:-26000}
EXAMPLE=lernwerk
WORK=$(mktemp -d)
. "$ROOT/support/deployment.sh"
trap 'stop_deployment; rm -rf "$WORK"' EXIT
ENGINE_FLAGS="--speed 20 --fixed_length 400 --capacity 400000"
start_deployment $EXAMPLE 1 2 1 &&
  roll_out "$ROOT/examples/$EXAMPLE/bundle.json" >/dev/null &&
  wait_until_serving $EXAMPLE || exit 1

cpu_of() {
  curl -s "http://$1/metrics" |
    awk '$1 == "process_cpu_seconds_total" { print $2 }'
}
tokens_of() {
  curl -s "http://$1/metrics" |
    awk '$1 == "drumlanding_tokens_total" { print $2 }'
}
entry=${ENTRIES[0]}
agent=127.0.0.1:$(port 301)
c1=$(cpu_of "$entry") t1=$(tokens_of "$entry") a1=$(cpu_of "$agent")
run_load --streams "${STREAMS:-80}" --seconds 10 --call_part 0 --drop_part 0 \
  --max_tokens 400 --progress=false >"$WORK/load.out"
c2=$(cpu_of "$entry") t2=$(tokens_of "$entry") a2=$(cpu_of "$agent")
cat "$WORK/load.out"
awk -v c="$c1 $c2" -v t="$t1 $t2" -v a="$a1 $a2" 'BEGIN {
  split(c, cs, " "); split(t, ts, " "); split(a, as, " ")
  n = ts[2] - ts[1]
  printf "entry: %d tokens, %.1f us of processor time each, %d tokens/s for each core\n",
    n, 1e6 * (cs[2] - cs[1]) / n, n / (cs[2] - cs[1])
  printf "agent: %.1f us each (half of the tokens)\n", 1e6 * (as[2] - as[1]) / (n / 2)
}'

# Median latency of 100 one-token requests on each path.
median_of() { sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }
credential=$(credentials_of "$ROOT/examples/$EXAMPLE/bundle.json")
credential=${credential%%,*}
direct=$(for ((i = 0; i < 100; i++)); do
  curl -s -o /dev/null -w '%{time_total}\n' "http://${ENGINES[0]}/v1/streams" \
    -d "{\"id\":\"direct-$i\",\"model\":\"$MODEL\",\"prompt\":\"x\",\"promptTokens\":1,\"maxTokens\":1,\"priority\":5}"
done | median_of)
through=$(for ((i = 0; i < 100; i++)); do
  curl -s -o /dev/null -w '%{time_total}\n' "http://$entry/v1/generations" \
    -H "Authorization: Bearer $credential" \
    -d "{\"model\":\"$MODEL\",\"prompt\":\"x\",\"maxTokens\":1}"
done | median_of)
awk -v d="$direct" -v t="$through" 'BEGIN {
  printf "one token: direct %.1f ms, through entry and agent %.1f ms, added %.1f ms, ratio %.2f\n",
    1000 * d, 1000 * t, 1000 * (t - d), t / d }'
