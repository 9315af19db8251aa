# Functions to start and stop deployments on loopback. The other scripts in utils source this file.
# BIN is the folder of the programs (default: the release build). RUN_DIR receives the logs (default: a new temporary folder).

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${BIN:-$ROOT/build/release/bin}
RUN_DIR=${RUN_DIR:-$(mktemp -d)}
PIDS=()

# Stops the processes that this script has started, and no others.
stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
    PIDS=()
}

# start NAME PROGRAM ARGS...: starts a program in the background; logs to RUN_DIR/NAME.log. Sets LAST_PID.
start() {
    local name=$1
    shift
    "$@" >"$RUN_DIR/$name.log" 2>&1 &
    LAST_PID=$!
    PIDS+=("$LAST_PID")
}

# reap PID: waits for a process that has been signalled to exit and removes it from PIDS.
reap() {
    local pid remaining=()
    wait "$1" 2>/dev/null
    for pid in "${PIDS[@]}"; do [ "$pid" = "$1" ] || remaining+=("$pid"); done
    PIDS=("${remaining[@]}")
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after the timeout.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -ge $end ] && return 1
        sleep 0.1
    done
}

http_get() { curl -fsS --max-time 5 "$1"; }

# Ports of a deployment with base port B and node index i: store B, entries B+100+i, peers B+200+i, admins B+300+i, servers B+400+i.
entry_address() { echo "127.0.0.1:$(($1 + 100 + $2))"; }
peer_address() { echo "127.0.0.1:$(($1 + 200 + $2))"; }
admin_address() { echo "127.0.0.1:$(($1 + 300 + $2))"; }
server_address() { echo "127.0.0.1:$(($1 + 400 + $2))"; }

# address_list FUNCTION BASE COUNT: prints the addresses of the first COUNT indexes, separated by commas.
address_list() {
    local addresses="" i
    for ((i = 0; i < $3; i++)); do addresses+="$($1 "$2" "$i"),"; done
    echo "${addresses%,}"
}

start_store() { # BASE
    start "store-$1" "$BIN/fake-store" --listen "127.0.0.1:$1"
    wait_for 10 http_get "http://127.0.0.1:$1/v1/stats"
}

# start_node BASE INDEX DEPLOYMENT DOMAIN [options of balsamd]
start_node() {
    local base=$1 index=$2 deployment=$3 domain=$4
    shift 4
    start "$deployment-node-$index" "$BIN/balsamd" --node "$deployment-$index" --domain "$domain" --region "$deployment" \
        --deployment "$deployment" --listen "$(entry_address "$base" "$index")" --peer "$(peer_address "$base" "$index")" \
        --admin "$(admin_address "$base" "$index")" --store "127.0.0.1:$base" --seeds "$(address_list peer_address "$base" 3)" "$@"
}

# start_server BASE INDEX DEPLOYMENT SERVICE SLOTS [options of fake-server]
start_server() {
    local base=$1 index=$2 deployment=$3 service=$4 slots=$5
    shift 5
    start "$deployment-server-$index" "$BIN/fake-server" --listen "$(server_address "$base" "$index")" --node "$(admin_address "$base" "$index")" \
        --service "$service" --slots "$slots" --seed "$index" --entry "$(entry_address "$base" "$index")" "$@"
}

# start_deployment BASE DEPLOYMENT SLOTS DOMAINS "SERVICE:COUNT ..." [options of balsamd]
# Starts a store with the example configuration, then COUNT servers per SERVICE, each with a node of its own.
# Sets COUNT to the total number of nodes. SERVER_OPTIONS holds further options of fake-server.
start_deployment() {
    local base=$1 deployment=$2 slots=$3 domains=$4 services=$5 index=0 pair
    shift 5
    start_store "$base" || return 1
    put_examples "$base" "$deployment"
    for pair in $services; do
        local service=${pair%%:*} count=${pair##*:} i
        for ((i = 0; i < count; i++)); do
            start_node "$base" "$index" "$deployment" "$deployment-domain-$((index % domains))" "$@"
            start_server "$base" "$index" "$deployment" "$service" "$slots" ${SERVER_OPTIONS:-}
            index=$((index + 1))
        done
    done
    COUNT=$index
}

start_tengri() { start_deployment "$1" tengri 9 4 "catalog:4 batch:4 metrology:4" "${@:2}"; }
start_association() { start_deployment "$1" association 20 3 "rulebook:4 plots:4 entries:3" "${@:2}"; }

# all_ready BASE COUNT: succeeds if every node has a configuration and sees at least COUNT members with a ready server.
node_ready() {
    local status
    status=$(http_get "http://$(admin_address "$1" "$3")/v1/status") || return 1
    [[ $status != *'"generation":0'* ]] || return 1
    [ "$(grep -o '"state":"ready"' <<<"$status" | wc -l)" -ge "$2" ]
}
all_ready() {
    local i
    for ((i = 0; i < $2; i++)); do node_ready "$1" "$2" "$i" || return 1; done
}

# all_at_generation BASE COUNT GENERATION: succeeds if every node has at least this generation of the configuration.
all_at_generation() {
    local i generation
    for ((i = 0; i < $2; i++)); do
        generation=$(http_get "http://$(admin_address "$1" "$i")/v1/status" | grep -o '"generation":[0-9]*') || return 1
        [ "${generation#*:}" -ge "$3" ] || return 1
    done
}

# put_examples BASE DEPLOYMENT: writes the example files of the deployment to the store.
put_examples() {
    local file
    for file in "$ROOT/examples/$2"/*.toml; do
        "$BIN/balsamctl" --store "127.0.0.1:$1" --deployment "$2" put "$file" >/dev/null 2>>"$RUN_DIR/put.log"
    done
}

# Nodes and servers whose connections pass through fake-link, a proxy that injects network faults, on each of three legs:
# caller to entry, peer to peer and guard to server. Clients use the addresses of the proxy:
# entries B+500+i, peers B+200+i (the nodes bind to B+600+i), servers B+700+i.
linked_entry_address() { echo "127.0.0.1:$(($1 + 500 + $2))"; }
bound_peer_address() { echo "127.0.0.1:$(($1 + 600 + $2))"; }
linked_server_address() { echo "127.0.0.1:$(($1 + 700 + $2))"; }
link_control_address() { echo "127.0.0.1:$(($1 + 1))"; }

# link_route LEG INDEX COUNT: prints the number of fake-link's route to node INDEX of COUNT; LEG is entry, peer or server.
link_route() {
    case $1 in
    entry) echo "$2" ;;
    peer) echo $(($3 + $2)) ;;
    server) echo $((2 * $3 + $2)) ;;
    esac
}

start_linked_node() { # BASE INDEX DEPLOYMENT [options of balsamd]
    start_node "$1" "$2" "$3" "$3-domain-$(($2 % 2))" --peer-bind "$(bound_peer_address "$1" "$2")" "${@:4}"
}

start_link() { # BASE COUNT
    local routes=() i
    for ((i = 0; i < $2; i++)); do routes+=("$(linked_entry_address "$1" "$i")=$(entry_address "$1" "$i")"); done
    for ((i = 0; i < $2; i++)); do routes+=("$(peer_address "$1" "$i")=$(bound_peer_address "$1" "$i")"); done
    for ((i = 0; i < $2; i++)); do routes+=("$(linked_server_address "$1" "$i")=$(server_address "$1" "$i")"); done
    start "link-$1" "$BIN/fake-link" --control "$(link_control_address "$1")" --seed "${SEED:-1}" "${routes[@]}"
}

start_linked_server() { # BASE INDEX DEPLOYMENT SERVICE SLOTS [options of fake-server]
    start_server "$1" "$2" "$3" "$4" "$5" --announce "$(linked_server_address "$1" "$2")" "${@:6}"
}

# start_linked_nodes BASE DEPLOYMENT SERVICE COUNT SLOTS [options of balsamd]
start_linked_nodes() {
    local base=$1 deployment=$2 service=$3 count=$4 slots=$5 i
    shift 5
    start_link "$base" "$count"
    for ((i = 0; i < count; i++)); do
        start_linked_node "$base" "$i" "$deployment" "$@"
        start_linked_server "$base" "$i" "$deployment" "$service" "$slots"
    done
}
