#!/usr/bin/env bash
# Measures the latency and the cost of a path through two nodes on loopback, runs
# the benchmarks that capacity.py reads, and writes the results to bench/results.
# Then bench/capacity.py writes docs/CAPACITY.md from them.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
OUT=bench/results
SECONDS_EACH=${SECONDS_EACH:-10}
mkdir -p "$OUT"
WORK=$(mktemp -d)
PIDS=()
cleanup() {
  for PID in "${PIDS[@]}"; do kill -9 "$PID" 2>/dev/null || true; done
  rm -rf "$WORK"
}
trap cleanup EXIT

port_of() { sed -n 's/.*"port": *\([0-9]*\).*/\1/p' "$1"; }

start_node() { # NAME HOST
  cat >"$WORK/$1.yaml" <<YAML
name: $1
region: north
failure_domain: north-a
listen: {callers: "$2:18080", peers: "$2:18081", operators: "$2:18082", announcements: "$2:18083"}
seeds: [127.0.8.1:18081, 127.0.8.2:18081]
platform: embedded
log_level: warn
YAML
  "$BUILD_DIR/currantgauge" serve --settings="$WORK/$1.yaml" >"$WORK/$1.log" 2>&1 &
  PIDS+=($!)
  until curl -s -o /dev/null "http://$2:18083/healthz"; do sleep 0.05; done
}

# CPU time of a process's threads in microseconds: the total, then the busiest.
cpu_of() { cat /proc/"$1"/task/*/schedstat | awk '{t+=$1; if($1>m)m=$1} END{printf "%d %d", t/1000, m/1000}'; }
# Resident memory in kB.
rss_of() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }
# CPU time of each thread in nanoseconds. CAF names the control thread caf.actor,
# and also another thread that stays idle, so the busiest of them is used.
snapshot() {
  for T in /proc/"$1"/task/*; do echo "$(basename "$T") $(awk '{print $1}' "$T/schedstat")"; done | sort
}

start_node a 127.0.8.1
NODE_A=${PIDS[-1]}
echo "{\"rss_kb_started\": $(rss_of "$NODE_A")}" >"$OUT/memory.json"
sleep 2
read -r T0 _ <<<"$(cpu_of "$NODE_A")"
sleep 20
read -r T1 _ <<<"$(cpu_of "$NODE_A")"
IDLE=$(awk "BEGIN{print ($T1-$T0)/20/10000}")
echo "{\"idle_percent_of_core\": $IDLE}" >"$OUT/idle.json"
echo "idle node: $IDLE% of a core"

start_node b 127.0.8.2
NODE_B=${PIDS[-1]}
for I in 1 2 3 4; do
  "$BUILD_DIR/backend_server" --name="c-$I" --service=cutlist --work_ms=2 --slots=64 \
    --node=127.0.8.2:18083 >"$WORK/c-$I.out" 2>/dev/null &
  PIDS+=($!)
done
"$BUILD_DIR/currantgauge" config push examples/demo/config --node=127.0.8.1:18082 --author=bench >/dev/null
until curl -sf -o /dev/null http://127.0.8.1:18083/readyz && curl -sf -o /dev/null http://127.0.8.2:18083/readyz; do sleep 0.1; done
sleep 3
DIRECT=127.0.0.1:$(port_of "$WORK/c-1.out")

"$BUILD_DIR/load_bench" --targets="$DIRECT" --rate=540 --seconds="$SECONDS_EACH" --mix=GET:/lists/7:1 --json --svg="$OUT/direct.svg" >"$OUT/direct.json"
snapshot "$NODE_A" >"$WORK/before"
read -r A0 _ <<<"$(cpu_of "$NODE_A")"
read -r B0 _ <<<"$(cpu_of "$NODE_B")"
"$BUILD_DIR/load_bench" --targets=127.0.8.1:18080 --rate=540 --seconds="$SECONDS_EACH" --mix=GET:/lists/7:1 --json --svg="$OUT/two_nodes.svg" >"$OUT/two_nodes.json"
read -r A1 _ <<<"$(cpu_of "$NODE_A")"
read -r B1 _ <<<"$(cpu_of "$NODE_B")"
snapshot "$NODE_A" >"$WORK/after"
join "$WORK/before" "$WORK/after" | while read -r T X Y; do
  if [ "$(cat "/proc/$NODE_A/task/$T/comm")" = caf.actor ]; then echo "$X $Y"; fi
done | awk -v s="$SECONDS_EACH" '{d=$2-$1; if(d>m)m=d} END{printf "{\"entry_control_thread_percent_at_540\": %.2f}\n", m/1e7/s}' >"$OUT/control.json"
awk "BEGIN{printf \"{\\\"entry_percent_of_core_at_540\\\": %.2f, \\\"owner_percent_of_core_at_540\\\": %.2f}\n\", ($A1-$A0)/$SECONDS_EACH/10000, ($B1-$B0)/$SECONDS_EACH/10000}" >"$OUT/cpu.json"
join "$WORK/before" "$WORK/after" | awk -v s="$SECONDS_EACH" '{d=($3-$2)/1e7/s; if(d>0.3) printf "%s %.2f%%\n",$1,d}' | while read -r T P; do
  echo "entry thread $(cat "/proc/$NODE_A/task/$T/comm") $T: $P of a core"
done
echo "{\"rss_kb_after_load\": $(rss_of "$NODE_A")}" >"$OUT/memory_loaded.json"
for RATE in 2000 4000 6000; do
  "$BUILD_DIR/load_bench" --targets=127.0.8.1:18080 --rate=$RATE --seconds=5 --mix=GET:/lists/7:1 --json >"$OUT/rate_$RATE.json"
done

# Measures the memory and sockets that each known server and peer adds to a node:
# announces servers to the owner, then starts more peers. Only anonymous memory
# counts, because code pages are shared.
anon_of() { awk '/RssAnon/{print $2}' "/proc/$1/status"; }
sockets_of() { find "/proc/$1/fd" -lname 'socket:*' 2>/dev/null | wc -l; }
announce_extra() {
  curl -s -o /dev/null -X PUT -d '{"service": "stocktally", "address": "127.0.0.1:9", "incarnation": 1, "slots": 4}' \
    "http://127.0.8.2:18083/v1/servers/extra-[1-$1]"
}
EXTRA_SERVERS=1000
EXTRA_PEERS=16
announce_extra 1
sleep 1
OWNER_KB=$(anon_of "$NODE_B") ENTRY_KB=$(anon_of "$NODE_A") OWNER_SOCKETS=$(sockets_of "$NODE_B")
announce_extra $EXTRA_SERVERS
sleep 1
awk "BEGIN{printf \"{\\\"servers\\\": %d, \\\"owner_bytes_per_server\\\": %.0f, \\\"entry_bytes_per_server\\\": %.0f, \\\"owner_sockets_per_server\\\": %.3f}\n\", \
  $EXTRA_SERVERS, ($(anon_of "$NODE_B")-$OWNER_KB)*1024/$EXTRA_SERVERS, ($(anon_of "$NODE_A")-$ENTRY_KB)*1024/$EXTRA_SERVERS, \
  ($(sockets_of "$NODE_B")-$OWNER_SOCKETS)/$EXTRA_SERVERS}" >"$OUT/per_server.json"
sleep 5 # until the leases have expired
ENTRY_KB=$(anon_of "$NODE_A") ENTRY_SOCKETS=$(sockets_of "$NODE_A")
for I in $(seq 1 $EXTRA_PEERS); do start_node "peer-$I" "127.0.8.$((10 + I))"; done
sleep 10
awk "BEGIN{printf \"{\\\"peers\\\": %d, \\\"bytes_per_peer\\\": %.0f, \\\"sockets_per_peer\\\": %.2f}\n\", \
  $EXTRA_PEERS, ($(anon_of "$NODE_A")-$ENTRY_KB)*1024/$EXTRA_PEERS, ($(sockets_of "$NODE_A")-$ENTRY_SOCKETS)/$EXTRA_PEERS}" >"$OUT/per_peer.json"
cat "$OUT/per_server.json" "$OUT/per_peer.json"
"$BUILD_DIR/reduce_bench" >"$OUT/reduce.json"
"$BUILD_DIR/membership_bench" 3 12 24 48 >"$OUT/membership.json"
"$BUILD_DIR/config_bench" node 1 >"$OUT/config.txt"
"$BUILD_DIR/config_bench" operator 1 >"$OUT/config_operator.txt"
"$BUILD_DIR/actions_bench" >"$OUT/actions.txt"
python3 bench/capacity.py
