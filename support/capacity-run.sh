#!/usr/bin/env bash
# Measures control traffic, CPU time and memory of idle daemons for several
# numbers of agents. The agents share four fake engines. Example:
#   AGENTS="25 50 100" N_ENTRIES=10 support/capacity-run.sh
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
BASE_PORT=${BASE_PORT:-23000}
EXAMPLE=lernwerk
N_ENTRIES=${N_ENTRIES:-10} SECONDS_OF_RUN=${SECONDS_OF_RUN:-20}
. "$ROOT/support/deployment.sh"
WORK=$(mktemp -d)
trap 'stop_deployment; rm -rf "$WORK"' EXIT

# metric URL NAME: prints the sum of a metric's samples
metric() {
  curl -s "http://$1/metrics" |
    awk -v n="$2" 'index($1, n) == 1 { sum += $2 } END { printf "%.6f", sum }'
}

# sample URL...: prints control bytes, CPU seconds and resident memory, each
# summed over the daemons
sample() {
  local url bytes=0 cpu=0 memory=0
  for url in "$@"; do
    bytes=$(echo "$bytes + $(metric "$url" drumlanding_control_bytes)" | bc)
    cpu=$(echo "$cpu + $(metric "$url" process_cpu_seconds_total)" | bc)
    memory=$(echo "$memory + $(metric "$url" process_resident_memory_bytes)" | bc)
  done
  echo "$bytes $cpu $memory"
}

# Prints averages per daemon between two samples.
report() { # KIND COUNT BEFORE AFTER
  local kind=$1 n=$2
  set -- $3 $4
  echo "agents=$AGENT_COUNT entries=$N_ENTRIES $kind: control_bytes_per_s=$(echo "scale=1; ($4 - $1) / $n / $SECONDS_OF_RUN" | bc) cpu_percent=$(echo "scale=3; 100 * ($5 - $2) / $n / $SECONDS_OF_RUN" | bc) memory_mb=$(echo "scale=1; $6 / $n / 1048576" | bc)"
}

for AGENT_COUNT in ${AGENTS:-25 50 100}; do
  VMS=() ENTRIES=() ENGINES=() SERVICES=()
  mapfile -t PLACES < <(places_of "$ROOT/examples/$EXAMPLE/bundle.json")
  PLATFORM=127.0.0.1:$(port 0)
  MODEL=tutor-llm
  make_keys
  start_process platform "$BUILD/fake-platform" --listen "$PLATFORM"
  for n in 1 2 3 4; do start_engine "$n"; done
  agent_urls=()
  for ((n = 1; n <= AGENT_COUNT; n++)); do
    place=${PLACES[$(((n - 1) % 3))]}
    start_agent "$MODEL-$n" "$n" "$MODEL" engine "$place" \
      "127.0.0.1:$(port $((501 + n % 4)))" --worker_threads 1
    agent_urls+=("127.0.0.1:$(port $((300 + n)))")
    VMS+=("$(vm_json "$MODEL-$n" agent "$MODEL" "$place" "127.0.0.1:$(port $((100 + n)))")")
  done
  for ((n = 1; n <= N_ENTRIES; n++)); do
    place=${PLACES[$(((n - 1) % 3))]}
    start_entry "$n" "$place"
    ENTRIES+=("127.0.0.1:$(port $((10 + n)))")
    VMS+=("$(vm_json "entry-$n" entry "" "$place" "127.0.0.1:$(port $((40 + n)))")")
  done
  wait_for_url "http://$PLATFORM/drumlanding/kv-range?pathPrefix=vms/"
  publish_vms
  roll_out "$ROOT/examples/$EXAMPLE/bundle.json" >/dev/null
  for entry in "${ENTRIES[@]}"; do wait_for_url "http://$entry/readyz"; done
  sleep 8
  e1=$(sample "${ENTRIES[@]}") a1=$(sample "${agent_urls[@]:0:20}")
  calls1=$(curl -s "http://$PLATFORM/v1/test/counts")
  sleep "$SECONDS_OF_RUN"
  e2=$(sample "${ENTRIES[@]}") a2=$(sample "${agent_urls[@]:0:20}")
  calls2=$(curl -s "http://$PLATFORM/v1/test/counts")
  report entry "$N_ENTRIES" "$e1" "$e2"
  report agent 20 "$a1" "$a2"
  echo "agents=$AGENT_COUNT platform calls in $SECONDS_OF_RUN s and sampling: $calls1 -> $calls2"
  stop_deployment
  sleep 1
done
