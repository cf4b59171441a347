# Functions that start a small deployment on 127.0.0.1, for the demo and the
# tests. Source this file after setting BUILD (build directory), WORK (directory
# for keys and logs), BASE_PORT, and ROOT (repository).
#
#   start_deployment lernwerk 2 3 1   # entries, engine servers, plain servers
#   roll_out examples/lernwerk/bundle.json
#   wait_until_serving
#   stop_deployment

PIDS=()
VMS=()
ENGINES=()
SERVICES=()
ENTRIES=()
declare -A PID_OF

port() { echo $((BASE_PORT + $1)); }

# Starts a program in the background and stores its process id under its name.
start_process() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PID_OF[$name]=$!
  PIDS+=($!)
}

# Prints the names of the places in a bundle in indented JSON, one a line.
places_of() {
  sed -n '/"places"/,/\]/s/.*"name": "\(.*\)".*/\1/p' "$1"
}

make_keys() {
  "$BUILD/drumlandingctl" keygen "$WORK/author" >/dev/null
  "$BUILD/drumlandingctl" keygen "$WORK/approver" >/dev/null
  export DRUMLANDING_CONTROL_KEY
  export DRUMLANDING_AUTHOR_KEYS DRUMLANDING_APPROVER_KEYS
  DRUMLANDING_CONTROL_KEY=$("$BUILD/drumlandingctl" control-key)
  DRUMLANDING_AUTHOR_KEYS=$(cat "$WORK/author.pub")
  DRUMLANDING_APPROVER_KEYS=$(cat "$WORK/approver.pub")
}

# vm_json NAME ROLE SERVICE PLACE CONTROL [STATE]: prints a VM's list entry
vm_json() {
  printf '{"name":"%s","role":"%s","service":"%s","place":"%s","control":"%s","state":"%s"}' \
    "$1" "$2" "$3" "$4" "$5" "${6:-live}"
}

publish_vms() {
  local list
  list=$(IFS=,; echo "${VMS[*]}")
  curl -sf -X PUT "http://$PLATFORM/v1/test/vms" -d "[$list]" >/dev/null
}

start_entry() {
  local i=$1 place=$2
  start_process "entry-$i" "$BUILD/drumlanding-entry" --name "entry-$i" \
    --place "$place" --failure_domain "$place-domain" \
    --listen "127.0.0.1:$(port $((10 + i)))" \
    --control_listen "127.0.0.1:$(port $((40 + i)))" \
    --platform "$PLATFORM" --fatal_invariants
}

# start_agent NAME NUMBER SERVICE KIND PLACE BACKEND [FLAGS...]
start_agent() {
  local name=$1 n=$2 service=$3 kind=$4 place=$5 backend=$6
  shift 6
  start_process "$name" "$BUILD/drumlanding-agent" --name "$name" \
    --service "$service" --place "$place" --failure_domain "$place-domain" \
    --backend "$backend" --backend_kind "$kind" \
    --control_listen "127.0.0.1:$(port $((100 + n)))" \
    --admin_listen "127.0.0.1:$(port $((300 + n)))" --fatal_invariants "$@"
}

start_engine() {
  local n=$1
  start_process "engine-$n" "$BUILD/fake-engine" \
    --listen "127.0.0.1:$(port $((500 + n)))" --seed "$n" \
    --weights "$PLATFORM" ${ENGINE_FLAGS:-}
}

# start_deployment EXAMPLE ENTRIES ENGINE_SERVERS PLAIN_SERVERS
start_deployment() {
  local example=$1 entries=$2 engines=$3 plains=$4
  local bundle="$ROOT/examples/$example/bundle.json"
  local model plain place n
  mapfile -t PLACES < <(places_of "$bundle")
  case $example in
    lernwerk) model=tutor-llm plain=lernapp ;;
    pwani) model=kiswahili-lm plain=records-portal ;;
  esac
  MODEL=$model
  PLAIN=$plain
  PLATFORM=127.0.0.1:$(port 0)
  make_keys
  start_process platform "$BUILD/fake-platform" --listen "$PLATFORM" \
    ${PLATFORM_FLAGS:-}
  for ((n = 1; n <= entries; n++)); do
    place=${PLACES[$(((n - 1) % ${#PLACES[@]}))]}
    start_entry "$n" "$place"
    VMS+=("$(vm_json "entry-$n" entry "" "$place" "127.0.0.1:$(port $((40 + n)))")")
    ENTRIES+=("127.0.0.1:$(port $((10 + n)))")
  done
  for ((n = 1; n <= engines; n++)); do
    place=${PLACES[$(((n - 1) % ${#PLACES[@]}))]}
    start_engine "$n"
    ENGINES+=("127.0.0.1:$(port $((500 + n)))")
    start_agent "$model-$n" "$n" "$model" engine "$place" \
      "127.0.0.1:$(port $((500 + n)))"
    VMS+=("$(vm_json "$model-$n" agent "$model" "$place" "127.0.0.1:$(port $((100 + n)))")")
  done
  for ((n = 1; n <= plains; n++)); do
    place=${PLACES[$(((n - 1) % ${#PLACES[@]}))]}
    start_process "service-$n" "$BUILD/fake-service" \
      --listen "127.0.0.1:$(port $((700 + n)))"
    SERVICES+=("127.0.0.1:$(port $((700 + n)))")
    start_agent "$plain-$n" $((100 + n)) "$plain" plain "$place" \
      "127.0.0.1:$(port $((700 + n)))"
    VMS+=("$(vm_json "$plain-$n" agent "$plain" "$place" "127.0.0.1:$(port $((200 + n)))")")
  done
  wait_for_url "http://$PLATFORM/drumlanding/kv-range?pathPrefix=vms/"
  publish_vms
}

wait_for_url() {
  local i
  for ((i = 0; i < 300; i++)); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

# sign_bundle IN OUT
sign_bundle() {
  "$BUILD/drumlandingctl" bundle sign "$1" --role author \
    --key "$WORK/author.key" --out "$2" &&
    "$BUILD/drumlandingctl" bundle sign "$2" --role approver \
      --key "$WORK/approver.key"
}

roll_out() {
  sign_bundle "$1" "$WORK/signed.json" &&
    "$BUILD/drumlandingctl" bundle roll-out "$WORK/signed.json" \
      --platform "$PLATFORM"
}

# Prints the example's credentials, separated by commas.
credentials_of() {
  sed -n '/"organisations"/,$s/^      "name": "\(.*\)",/example-credential-\1/p' \
    "$1" | paste -sd,
}

# Waits until all entries and engine agents are ready and every entry serves a
# request.
wait_until_serving() {
  local i entry first=1 credential
  credential=$(credentials_of "$ROOT/examples/$1/bundle.json")
  credential=${credential%%,*}
  for entry in "${ENTRIES[@]}"; do
    wait_for_url "http://$entry/readyz" || return 1
  done
  for ((i = 1; i <= ${#ENGINES[@]}; i++)); do
    wait_for_url "http://127.0.0.1:$(port $((300 + i)))/readyz" || return 1
  done
  for ((i = 0; i < 300; i++)); do
    for entry in "${ENTRIES[@]}"; do
      curl -sf -o /dev/null "http://$entry/v1/generations" \
        -H "Authorization: Bearer $credential" \
        -d "{\"model\":\"$MODEL\",\"prompt\":\"hello\",\"maxTokens\":2,\"stream\":false}" ||
        { sleep 0.1 && continue 2; }
    done
    return 0
  done
  echo "no request went through" >&2
  return 1
}

run_load() {
  local list engines services
  list=$(IFS=,; echo "${ENTRIES[*]}")
  engines=$(IFS=,; echo "${ENGINES[*]}")
  services=$(IFS=,; echo "${SERVICES[*]}")
  "$BUILD/load" --entries "$list" --engines "$engines" \
    --services "$services" --model "$MODEL" --service "$PLAIN" \
    --credentials "$(credentials_of "$ROOT/examples/$EXAMPLE/bundle.json")" "$@"
}

stop_deployment() {
  ((${#PIDS[@]})) || return 0
  kill -CONT "${PIDS[@]}" 2>/dev/null
  kill -KILL "${PIDS[@]}" 2>/dev/null
  wait "${PIDS[@]}" 2>/dev/null
  PIDS=()
}
