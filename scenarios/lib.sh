# Functions that write the INI files of a run into $dir and start its processes.
# run sets the variables that are used here.

token=loopback-only

# next_port sets $port to the next port of the run.
next_port() { port=$base_port; base_port=$((base_port + 1)); }

# pick LIST... prints the element at place $place, in turn.
pick() { shift $((place % $#)); echo "$1"; }

# write_settings_tree FILE: one node for each account of the streams, with the
# weight and the hash of the key that the load generator will use.
write_settings_tree() {
  {
    printf '[/]\ndefault_deadline = 5m\n\n[services]\nshare = %s\nprompt_cost = %s\nreport_interval = %s\n\n' "$policy" "$prompt_cost" "$report_interval"
    local i
    for i in "${!service_names[@]}"; do
      printf '[services/%s]\nkind = %s\nidempotent = false\n%s\n' "${service_names[i]}" "${service_kinds[i]}" "$service_settings"
    done
    awk -F ' = ' '
      /^account/ { account = $2 }
      /^key/ { key[account] = $2 }
      /^weight/ { if (!(account in weight)) weight[account] = $2 }
      END { for (a in key) print a, key[a], weight[a] }' "$streams" | sort |
      while read -r account key weight; do
        printf '[%s]\nweight = %s\napi_key_sha256 = %s\n\n' "$account" "$weight" "$(printf %s "$key" | sha256sum | cut -d' ' -f1)"
      done
  } >"$1"
}

# write_node FILE VM CONTROL DATA: the sections that all nodes share.
write_node() {
  cat >"$1" <<INI
[node]
vm = $2
zone = $(pick "${zones[@]}")
region = $region
control = $3
data = $4
[platform]
address = $platform
[control]
token = $token
[log]
level = $log_level
INI
}

# write_scenario FILE: the processes of this run, then the streams.
write_scenario() {
  {
    printf '[run]\nname = %s\nduration = %s\nwarm_up = %s\nseed = %s\n' "$deployment $policy $fault" "$duration" "$warm_up" "$seed"
    printf '[fleet]\nrouters = %s\nrouter_control = %s\nagent_control = %s\n' "$router_data" "$router_control" "$agent_control"
    local i
    for i in "${!service_names[@]}"; do
      printf '[service.%s]\nengines = %s\nprompt_cost = %s\n' "${service_names[i]}" "${engines[i]}" "$prompt_cost"
    done
    cat "$streams"
    [ "$fault" != flood ] || write_flood
  } >"$1"
}

# write_flood: one account asks for far more than its share from every router.
write_flood() {
  cat <<INI
[load.flood]
account = $flood_account
key = sk-${flood_account//\//-}
weight = 4
service = $flood_service
group = flood
outstanding = 600
start = 1ms
prompt = 200
output = 200
INI
}

# write_slope_streams FILE: equal accounts that are backlogged at all services.
write_slope_streams() {
  local account service
  for ((account = 0; account < accounts; account++)); do
    for service in "${service_names[@]}"; do
      cat <<INI
[load.$account-$service]
account = slope/team/a$account
key = sk-slope-team-a$account
weight = 1
service = $service
outstanding = $outstanding
prompt = 50
output = 50
INI
    done
  done >"$1"
}

# start NAME COMMAND...: starts a process and notes its id under its name.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop NAME SIGNAL: ends a process of this run and waits for its end.
stop() {
  local pid=${pids[$1]}
  kill "-$2" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  unset "pids[$1]"
}

# await ADDRESS PATH: waits until the address answers with success.
await() {
  local tries
  for ((tries = 0; tries < 300; tries++)); do
    curl -sf -o "$dir/await" "http://$1$2" && return 0
    sleep 0.1
  done
  echo "no success from $1$2; see $dir" >&2
  return 1
}

# alive NAME: fails when the process is gone, for instance because another
# process had its port.
alive() {
  kill -0 "${pids[$1]}" 2>/dev/null && return
  echo "$1 has ended: $(tail -n 1 "$dir/$1.log" | cut -c 1-300)" >&2
  return 1
}

# find_home prints the name of the agent that took in the most tally bytes.
find_home() {
  local i=0 address
  for address in ${agent_control//,/ }; do
    echo "$(curl -s "http://$address/metrics" | awk '/control_bytes_total.*"tally".*"in"/ { n = $2 } END { print n + 0 }') ${agent_names[i]}"
    i=$((i + 1))
  done | sort -g | tail -n 1 | cut -d' ' -f2
}

# report_ended names the processes that are gone, with their last words.
report_ended() {
  local name
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || echo "$name has ended: $(tail -n 1 "$dir/$name.log" | cut -c 1-300)"
  done | head -n 3 >&2
}
