# Starts stand-ins and daemons as processes, for the scripts beside it. Sourced,
# from the project's root, after scripts/setup.
bin=${SCALESHED_BUILD:-build}
work=$(mktemp -d)
pids=()
daemons=()

# Ends only processes that this script started, by their ids: the daemons first,
# as their planned stop needs the platform.
finish() {
  for it in "${daemons[@]}"; do kill -TERM "$it" 2>/dev/null || true; done
  for it in "${daemons[@]}"; do wait "$it" 2>/dev/null || true; done
  for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

# start NAME COMMAND...: runs a process and waits until it says where it listens.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q listening "$work/$name.log" && return 0
    sleep 0.05
  done
  echo "$name did not start" >&2
  cat "$work/$name.log" >&2
  return 1
}
stand_in_address() { sed -n 's/.* listening //p' "$work/$1.log"; }
daemon_field() { sed -n "s/.*\"event\":\"listening\".*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.log"; }

# start_fleet MODEL SERVICE ENGINES DAEMONS: the platform, engines, a service and
# daemons, listed; the daemons' data centres are taken in turn from `centres`.
start_fleet() {
  local model=$1 service=$2 engines=$3 entries=$4 n centre
  start platform "$bin/testing/fake_platform" --list_lag_ms=200
  platform=$(stand_in_address platform)
  for n in $(seq "$engines"); do
    start "engine-$n" "$bin/testing/fake_engine" --name="engine-$n" --speed=20
  done
  start service-1 "$bin/testing/fake_service" --name=service-1
  for n in $(seq "$entries"); do
    centre=${centres[$(((n - 1) % ${#centres[@]}))]}
    cat >"$work/entry-$n.yaml" <<YAML
instance: entry-$n
data_centre: $centre
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
platform: $platform
look_up_keep_ms: 1000
YAML
    start "entry-$n" "$bin/daemon/scaleshedd" --settings="$work/entry-$n.yaml"
    daemons+=("${pids[-1]}")
  done
  # The list of instances is the platform's; here the script plays the platform.
  {
    echo '{"instances": ['
    for n in $(seq "$entries"); do
      centre=${centres[$(((n - 1) % ${#centres[@]}))]}
      echo "{\"name\": \"entry-$n\", \"kind\": \"entry\", \"state\": \"live\","
      echo " \"data_centre\": \"$centre\", \"address\": \"$(daemon_field "entry-$n" address)\","
      echo " \"peer_address\": \"$(daemon_field "entry-$n" peer_address)\"},"
    done
    for n in $(seq "$engines"); do
      echo "{\"name\": \"engine-$n\", \"kind\": \"engine\", \"state\": \"live\", \"service\": \"$model\","
      echo " \"address\": \"$(stand_in_address "engine-$n")\", \"memory_tokens\": 400000},"
    done
    echo "{\"name\": \"service-1\", \"kind\": \"service\", \"state\": \"live\", \"service\": \"$service\","
    echo " \"address\": \"$(stand_in_address service-1)\"}"
    echo ']}'
  } >"$work/instances.json"
  curl -sS -X PUT --data-binary @"$work/instances.json" "http://$platform/control/instances" >/dev/null
}

# accept_templates FOLDER DAEMONS: puts templates in force and waits until every
# daemon is ready.
accept_templates() {
  local n
  "$bin/cli/scaleshed" accept "$1" --platform="$platform" --operator_name=script \
    --base=0 --daemon="$(daemon_field entry-1 address)" --wait_ms=20000
  for n in $(seq "$2"); do
    for _ in $(seq 400); do
      [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(daemon_field "entry-$n" address)/readyz")" = 200 ] && break
      sleep 0.05
    done
  done
}
