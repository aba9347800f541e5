# Sourced by scripts/demo, scripts/bench and scripts/recovery: runs a small deployment on the loopback
# interface, with its files in a temporary folder.
# Sets: dir (that folder), bin (folder of the programs), entries (addresses of the entries); the function hg
# runs the command line against them.
# Environment: PROFILE is the build profile (debug or release), LOG_LEVEL the log level (info), KEEP keeps the
# folder, UPSTREAM_ARGS are more arguments of each upstream.
# On exit all processes are ended by process id.

profile=${PROFILE:-debug}
if [ "$profile" = release ]; then cargo build --release --quiet --bins || exit 1; else cargo build --quiet --bins || exit 1; fi
bin=${CARGO_TARGET_DIR:-target}/$profile
dir=$(mktemp -d)
pids=()
declare -A pid_of

finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    if [ -n "${KEEP:-}" ]; then echo "files are in $dir"; else rm -rf "$dir"; fi
}
trap finish EXIT

fail() {
    echo "$(basename "$0"): FAILED: $*"
    for log in "$dir"/*.log; do echo "--- $log"; tail -n 5 "$log"; done >&2
    exit 1
}

# Prints the first of 16 consecutive free ports.
free_base() {
    local base port
    for _ in $(seq 50); do
        base=$((20000 + (RANDOM % 700) * 16))
        for port in $(seq "$base" $((base + 15))); do
            (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue 2
        done
        echo "$base"
        return
    done
    fail "found no 16 consecutive free ports"
}

port() { echo "127.0.0.1:$((base + $1))"; }

start() { # name command...
    local name=$1
    shift
    "$@" >>"$dir/$name.log" 2>&1 &
    pids+=($!)
    pid_of[$name]=$!
}

hg() { "$bin/heathergrade" --entry "$entries" "$@"; }

until_true() { # timeout_seconds what command...
    local limit=$((SECONDS + $1)) what=$2
    shift 2
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -ge "$limit" ] && fail "timed out waiting for $what"
        sleep 0.1
    done
}

open_upstreams() { [ "$(hg upstream list | grep -c ' open ')" = "$1" ]; }

start_control() { start "c$1" "$bin/heathergrade-control" --settings "$dir/c$1.toml"; }

start_entry() { start "e$1" "$bin/heathergrade-entry" --settings "$dir/e$1.toml"; }

start_upstream() { # number arguments...
    local n=$1
    shift
    start "u$n" "$bin/fake-upstream" --name "u$n" --rack "r$(((n + 1) / 2))" --data-centre north-1 \
        --entries "$entries" --witness "$dir/witness" "$@"
}

# Starts three control processes, three entry processes and four fake upstreams, and puts the first lists in
# force.
start_deployment() {
    local n log="[log]
level = \"${LOG_LEVEL:-info}\""
    base=$(free_base)
    entries="$(port 6),$(port 7),$(port 8)"
    "$bin/heathergrade" keys new "$dir/keys" c1 c2 c3 e1 e2 e3 >/dev/null || fail "cannot create the keys"
    local peers="[\"$(port 0)\", \"$(port 1)\", \"$(port 2)\"]"
    for n in 1 2 3; do
        cat >"$dir/c$n.toml" <<EOF
host = "c$n"
data_centre = "north-$n"
listen = "$(port $((n - 1)))"
http = "$(port $((n + 2)))"
peers = $peers
data = "$dir/c$n.data"
keys = "$dir/keys/c$n"
$log
EOF
        cat >"$dir/e$n.toml" <<EOF
name = "e$n"
data_centre = "north-$n"
http = "$(port $((n + 5)))"
controls = $peers
keys = "$dir/keys/e$n"
$log
EOF
    done
    for n in 1 2 3; do
        "$bin/heathergrade-control" --settings "$dir/c$n.toml" --found "c1=$(port 0),c2=$(port 1),c3=$(port 2)" \
            >>"$dir/c$n.log" 2>&1 || fail "cannot found the control group on c$n"
    done
    for n in 1 2 3; do
        start_control "$n"
        start_entry "$n"
    done
    for n in 1 2 3 4; do start_upstream "$n" ${UPSTREAM_ARGS:-}; done
    until_true 20 "four open upstreams" open_upstreams 4
    hg lists put --plans examples/bildfaktura/plans.toml --accounts examples/bildfaktura/accounts.toml \
        --expect 0 --operation first || fail "cannot put the lists of Bildfaktura in force"
}
