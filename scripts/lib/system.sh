# Runs a whole system on loopback, for scripts/demo and scripts/failures: three control replicas, and
# in each of three zones a relay and nodes with stand-in targets. Source it after setting `preset`.
#
#   start_system BASE_PORT   starts the system, with its files in $work
#   operator ARGUMENTS...    runs the command-line tool against it
#   end_system               ends every process that was started, by process id
#
# Every process has a name (control-0, relay-1, node-7, target-7); pid_of[NAME] is its process id.

bin="$PWD/build/${preset:-release}/bin"
work="$(mktemp -d)"
declare -A pid_of
declare -A command_of
zones=(zone-a zone-b zone-c)
services=(directory dialer mailbox ledger)
node_count=12

# start NAME COMMAND...: runs COMMAND in the background with its output in $work/NAME.log.
start() {
  local name="$1"
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  command_of[$name]="$(printf '%q ' "$@")"
}

# restart NAME: starts a process that has ended again, with the same command.
restart() {
  local -a words
  eval "words=(${command_of[$1]})"
  start "$1" "${words[@]}"
}

# signal SIGNAL NAME: sends SIGNAL to one process that this script started.
signal() {
  kill "-$1" "${pid_of[$2]}" 2>/dev/null || true
}

# crash NAME: kills a process and waits until it has ended.
crash() {
  signal KILL "$1"
  wait "${pid_of[$1]}" 2>/dev/null || true
}

end_system() {
  local pid
  for pid in "${pid_of[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "${SYSTEM_LOGS:-}" ]; then cp -r "$work" "$SYSTEM_LOGS"; fi
  rm -rf "$work"
}

daemon() {
  local name="$1"
  shift
  start "$name" "$bin/sycamorewinchd" --name="$name" --cluster-key-file="$work/key" \
    --operator-token-file="$work/token" "$@"
}

control_admin() { echo "127.0.0.1:$((base + 10 + $1))"; }
node_admin() { echo "127.0.0.1:$((base + 300 + $1))"; }

start_system() {
  base="$1"
  head -c 32 /dev/urandom | base64 >"$work/key"
  head -c 32 /dev/urandom | base64 >"$work/token"
  local i n=0 service peers="" upstreams
  controls=""
  callers=()
  for i in 0 1 2; do
    peers+="${peers:+,}control-$i=127.0.0.1:$((base + i))"
    controls+="${controls:+,}$(control_admin "$i")"
  done
  for i in 0 1 2; do
    daemon "control-$i" --role=control --zone="${zones[$i]}" --control-peers="$peers" \
      --listen-peers="127.0.0.1:$((base + i))" --listen-admin="$(control_admin "$i")" \
      --data-dir="$work/data-$i"
  done
  upstreams="$(seq -s, -f "127.0.0.1:%g" "$base" "$((base + 2))")"
  for i in 0 1 2; do
    daemon "relay-$i" --role=relay --zone="${zones[$i]}" --upstreams="$upstreams" \
      --listen-peers="127.0.0.1:$((base + 20 + i))" --listen-admin="127.0.0.1:$((base + 30 + i))"
  done
  for service in "${services[@]}"; do
    for i in 0 1 2; do
      daemon "node-$n" --role=node --zone="${zones[$i]}" \
        --upstreams="127.0.0.1:$((base + 20 + i)),127.0.0.1:$((base + 20 + (i + 1) % 3))" \
        --listen-peers="127.0.0.1:$((base + 100 + n))" \
        --listen-callers="127.0.0.1:$((base + 200 + n))" --listen-admin="$(node_admin "$n")"
      start "target-$n" "$bin/sycamorewinch-standin" target --service="$service" \
        --target="$service-$i" --node-admin="$(node_admin "$n")" --delay-ms=5 \
        --journal="$work/journal-$service-$i"
      callers+=(--node="127.0.0.1:$((base + 200 + n))")
      n=$((n + 1))
    done
  done
}

operator() {
  "$bin/sycamorewinch" --control="$controls" --token-file="$work/token" \
    --operator="${operator_name:-demo}" --human "$@"
}

load() {
  "$bin/sycamorewinch-standin" load "${callers[@]}" "$@"
}

write_sample_table() {
  cat >"$1" <<'CSV'
service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,retries,repeatable,depends_on
directory,/directory,,0,0,0,,2000,2,yes,
dialer,/dialer,,0,0,0,desk=20/5/0,2000,1,no,directory
mailbox,/mailbox,zone:zone-a=2;zone:zone-b=1;zone:zone-c=1,0,0,0,,2000,2,yes,directory
ledger,/ledger,,0,0,0,,2000,2,yes,directory
CSV
}
