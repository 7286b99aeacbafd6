#!/usr/bin/env bash
# Runs the fault soak for one or more consecutive seeds.
#   ./soak.sh --seed 7                       one seed
#   ./soak.sh --seed 7 --count 50 --jobs 4   seeds 7 to 56, four runs in parallel
#   ./soak.sh --minutes 5                    new seeds for five minutes
# Other options are passed to build/soak: --seconds=20 --machines=5 --plan=FILE
# --shorten --keep. Exit code 1: a run violated a guarantee or failed; see
# docs/SOAK.md.
set -uo pipefail
cd "$(dirname "$0")"
SEED=$(date +%s) COUNT=1 JOBS=1 MINUTES=0 MORE=()
while [ $# -gt 0 ]; do
  case $1 in
  --seed) SEED=$2; shift 2 ;;
  --count) COUNT=$2; shift 2 ;;
  --jobs) JOBS=$2; shift 2 ;;
  --minutes) MINUTES=$2; shift 2 ;;
  *) MORE+=("$1"); shift ;;
  esac
done
[ -x build/soak ] || ./build.sh || exit 2
BROKEN=0
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
# Runs seeds $1 to $2 and prints the output of each run as it ends.
run() {
  seq "$1" "$2" | xargs -P "$JOBS" -I{} sh -c 'S=$1; F=$2; shift 2
    build/soak --seed="$S" "$@" >"$F/$S" 2>&1 || touch "$F/failed"; cat "$F/$S"' _ {} "$FOLDER" "${MORE[@]}"
}
if [ "$MINUTES" -gt 0 ]; then
  END=$(($(date +%s) + MINUTES * 60))
  while [ "$(date +%s)" -lt "$END" ]; do
    run "$SEED" $((SEED + JOBS - 1))
    SEED=$((SEED + JOBS))
  done
else
  run "$SEED" $((SEED + COUNT - 1))
fi
[ -e "$FOLDER/failed" ] && BROKEN=1
exit $BROKEN
