#!/usr/bin/env bash
# Installs the dependencies, builds, and starts a small fleet on loopback
# addresses. Sends reads and non-idempotent actions through it while one backend
# server is killed and another stalls, prints the results that callers got, and
# stops all processes.
set -euo pipefail
cd "$(dirname "$0")"
BUILD_DIR=${BUILD_DIR:-build}
[ -n "${SKIP_INSTALL:-}" ] || ./install-deps.sh
./build.sh
WORK=$(mktemp -d)
PIDS=()
cleanup() {
  for PID in "${PIDS[@]}"; do kill "$PID" 2>/dev/null || true; done
  # The stalled server waits for its running requests and never exits by itself.
  for _ in $(seq 60); do
    kill -0 "${PIDS[@]}" 2>/dev/null || break
    sleep 0.1
  done
  for PID in "${PIDS[@]}"; do kill -9 "$PID" 2>/dev/null || true; done
  for PID in "${PIDS[@]}"; do wait "$PID" 2>/dev/null || true; done
  rm -rf "$WORK"
}
trap cleanup EXIT

"$BUILD_DIR/platform" --port=0 >"$WORK/platform.out" 2>"$WORK/platform.err" &
PIDS+=($!)
until [ -s "$WORK/platform.out" ]; do sleep 0.05; done
PLATFORM_PORT=$(sed -n 's/.*"port": *\([0-9]*\).*/\1/p' "$WORK/platform.out")

DOMAINS=(north-a north-b south-a)
REGIONS=(north north south)
for I in 1 2 3; do
  # Each node listens on a separate loopback address.
  cat >"$WORK/node-$I.yaml" <<YAML
name: node-$I
region: ${REGIONS[$((I - 1))]}
failure_domain: ${DOMAINS[$((I - 1))]}
listen:
  callers: 127.0.7.$I:18080
  peers: 127.0.7.$I:18081
  operators: 127.0.7.$I:18082
  announcements: 127.0.7.$I:18083
seeds: [127.0.7.1:18081, 127.0.7.2:18081]
platform: 127.0.0.1:$PLATFORM_PORT
actions: {secret: demonstration-secret}
YAML
  "$BUILD_DIR/currantgauge" serve --settings="$WORK/node-$I.yaml" >"$WORK/node-$I.log" 2>&1 &
  PIDS+=($!)
done
for I in 1 2 3; do
  until curl -s -o /dev/null "http://127.0.7.$I:18083/healthz"; do sleep 0.05; done
done
SERVER_PIDS=()
for I in 1 2 3 4 5 6; do
  "$BUILD_DIR/backend_server" --name="cutlist-$I" --service=cutlist --work_ms=5 --slots=4 \
    --node="127.0.7.$(((I - 1) % 3 + 1)):18083" >"$WORK/server-$I.out" 2>/dev/null &
  PIDS+=($!)
  SERVER_PIDS+=($!)
done
"$BUILD_DIR/currantgauge" config push examples/demo/config --node=127.0.7.1:18082 --author=demo --wait
for I in 1 2 3; do
  until curl -sf -o /dev/null "http://127.0.7.$I:18083/readyz"; do sleep 0.05; done
done
sleep 2

echo "--- sending requests for 12 s; cutlist-2 is killed after 3 s, cutlist-3 stalls after 6 s"
"$BUILD_DIR/load_bench" --targets=127.0.7.1:18080,127.0.7.2:18080,127.0.7.3:18080 \
  --seconds=12 --rate=150 --mix=GET:/lists/7:60,GET:/stock/3:20,POST:/commits/9:20 \
  --unique_keys --table &
LOAD=$!
sleep 3
kill -9 "${SERVER_PIDS[1]}"
sleep 3
PORT=$(sed -n 's/.*"port": *\([0-9]*\).*/\1/p' "$WORK/server-3.out")
curl -s -o /dev/null -X POST -d '{"mode":"stall"}' "http://127.0.0.1:$PORT/.control"
wait "$LOAD"

echo "--- runs per commit at the backend servers (none may run twice)"
TWICE=0
for I in 1 3 4 5 6; do
  PORT=$(sed -n 's/.*"port": *\([0-9]*\).*/\1/p' "$WORK/server-$I.out")
  STATS=$(curl -s "http://127.0.0.1:$PORT/.stats")
  MORE=$(grep -oE '"load-[0-9]+":([2-9]|[1-9][0-9]+)' <<<"$STATS" | wc -l || true)
  TWICE=$((TWICE + MORE))
done
echo "commits that one server ran twice: $TWICE"
echo "--- status"
"$BUILD_DIR/currantgauge" status --node=127.0.7.1:18082
echo "--- stopping"
[ "$TWICE" = 0 ]
