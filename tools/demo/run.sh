#!/usr/bin/env bash
# Runs a small Accra deployment as separate processes (platform and target
# stand-ins, three entry hosts) and sends a discovery request, a stock query
# and a booking.
#
#   tools/demo/run.sh BUILD_DIR [BASE_PORT [HOLD_S]]
#
# HOLD_S is the number of seconds to keep running before the shutdown, for
# trying out the commands in docs/OPERATORS.md.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
build=$(cd "${1:?usage: tools/demo/run.sh BUILD_DIR [BASE_PORT]}" && pwd)
base=${2:-21000}
hold_s=${3:-0}
zones=(osu tema madina)
stock_groups=10
booking_groups=5

work=$(mktemp -d)
pids=()
hosts=()

cleanup() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

fail() {
    echo "demo: $*" >&2
    for log in "$work"/*.log; do
        echo "--- $(basename "$log")" >&2
        tail -n 5 "$log" >&2
    done
    exit 1
}

require_free() {
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then
        echo "demo: port $1 is in use; give another base port as the" \
            "second argument" >&2
        exit 1
    fi
}

# add_targets SERVICE PREFIX GROUPS FIRST_PORT ONCE
add_targets() {
    local port=$4 group zone
    for ((group = 0; group < $3; group++)); do
        for zone in "${zones[@]}"; do
            echo "target $2-$group-$zone service $1 availability_zone $zone" \
                "address 127.0.0.1:$port slots 4 connections 80" \
                "connect_cost 6ms state live holds 1/$group" \
                >>"$work/values/catalogue"
            echo "name=$2-$group-$zone service=$1 port=$port" \
                "places=1/$group maps=1:$3 holds=1/7 slots=4" \
                "connections=80 connect_ms=6 service_ms=4 once=$5" \
                >>"$work/targets"
            port=$((port + 1))
        done
    done
}

write_values() {
    mkdir "$work/values"
    cp "$root/examples/accra.rules" "$work/values/rules"
    {
        echo "service stock-finder run idempotent shards $stock_groups map 1"
        echo "service booking-desk run once shards $booking_groups map 1"
    } >"$work/values/catalogue"
    add_targets stock-finder sf "$stock_groups" $((base + 100)) 0
    add_targets booking-desk bd "$booking_groups" $((base + 200)) 1
    local i
    for i in 0 1 2; do
        echo "member ${zones[i]}-1 availability_zone ${zones[i]}" \
            "callers 127.0.0.1:$((base + 1 + i))" \
            "peers 127.0.0.1:$((base + 11 + i)) state live" \
            >>"$work/values/members"
    done
}

write_settings() {
    (umask 077 && head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' \
        >"$work/fleet.key")
    local i
    for i in 0 1 2; do
        cat >"$work/${zones[i]}-1.ini" <<EOF
[host]
name = ${zones[i]}-1
availability_zone = ${zones[i]}
callers = 127.0.0.1:$((base + 1 + i))
peers = 127.0.0.1:$((base + 11 + i))
admin = 127.0.0.1:$((base + 21 + i))
[fleet]
key_file = $work/fleet.key
[platform]
address = 127.0.0.1:$base
[membership]
discovery_lifetime_ms = 1000
EOF
    done
}

# start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
}

# wait_ready PORT
wait_ready() {
    local try
    for ((try = 0; try < 150; try++)); do
        if curl -sf "http://127.0.0.1:$1/readyz" >/dev/null; then
            return
        fi
        sleep 0.1
    done
    fail "the host on port $1 did not become ready"
}

for port in "$base" $((base + 1)) $((base + 2)) $((base + 3)) \
    $((base + 11)) $((base + 21)) $((base + 100)) $((base + 200)); do
    require_free "$port"
done
write_values
write_settings

echo "== starting the platform, $(wc -l <"$work/targets") targets, 3 hosts"
start platform "$build/standins/platform_standin" --port "$base" \
    --values "$work/values" --lifetime_s 120
start targets "$build/standins/target_standin" --targets "$work/targets" \
    --data "$root/standins/data/stock.tsv" --lifetime_s 120
sleep 0.3
for zone in "${zones[@]}"; do
    start "$zone-1" "$build/tools/kumquatrampd" \
        --settings "$work/$zone-1.ini"
    hosts+=("${pids[-1]}")
done
for i in 1 2 3; do
    wait_ready $((base + i))
done

echo "== which hosts may a caller in tema use?"
answer=$(curl -sf \
    "http://127.0.0.1:$((base + 1))/v1/hosts?availability_zone=tema")
echo "$answer"
address=$(sed -E 's/.*"address":"([^"]+)".*/\1/' <<<"${answer%%\}*}")

# A target that no host has reported on counts as cold: one host warms it and
# the others wait for its report. Queries in the first seconds are therefore
# partial.
warm_up() {
    local try port answer
    for ((try = 0; try < 150; try++)); do
        for port in $((base + 1)) $((base + 2)) $((base + 3)); do
            answer=$(ask "127.0.0.1:$port")
        done
        answer=$(ask "$address")
        if grep -q '"answered":10,"total":10' <<<"$answer"; then
            echo "warm after $try rounds of queries"
            return
        fi
        sleep 0.1
    done
    echo "$answer"
    curl -s "http://127.0.0.1:$((base + 21))/v1/status"
    fail "the targets did not become warm"
}

# ask ADDRESS
ask() {
    curl -s -H 'Kumquatramp-Caller: planner-app' \
        -H 'Kumquatramp-Deadline-Ms: 1000' \
        -d '{"article":"tablecloth","date":"2026-12-12"}' \
        "http://$1/v1/services/stock-finder/query"
}

echo "== warming the targets"
warm_up
echo "== a stock query at $address"
query=$(ask "$address")
echo "$query"
grep -q '"answered":10,"total":10' <<<"$query" || fail "not all shards answered"

echo "== a booking"
id=$(curl -sf -d '' "http://$address/v1/request-ids" |
    sed -E 's/.*"request_id":"([^"]+)".*/\1/')
book() {
    curl -s -H "Kumquatramp-Request-Id: $id" -H 'Kumquatramp-Key: damask-1' \
        -d '{"article":"damask-1","date":"2026-12-12","family":"Mensah"}' \
        "http://$address/v1/services/booking-desk/requests"
}
booking=$(book)
echo "$booking"
grep -q '"state":"ran"' <<<"$booking" || fail "the booking did not run"
echo "== the same booking again, and its outcome"
book
echo
curl -sf "http://$address/v1/request-ids/$id"
echo

if ((hold_s > 0)); then
    echo "== holding for $hold_s s"
    sleep "$hold_s"
fi

echo "== graceful shutdown"
for pid in "${hosts[@]}"; do
    kill -TERM "$pid"
done
for pid in "${hosts[@]}"; do
    wait "$pid" || fail "a host ended with code $?"
done
echo "demo: all three hosts ended with code 0"
