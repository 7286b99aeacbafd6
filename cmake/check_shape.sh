#!/usr/bin/env bash
# The decisions include no framework, clock or thread header, and no class of
# ours has a virtual function of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
BAD=0
DECISIONS=(currantgauge/{base,core,routing,admission,actions,membership,config})
if grep -rnE '#include *[<"](caf/|grpc|google/protobuf|boost/(beast|asio)|gflags|log4cplus|chrono|ctime|time\.h|sys/time|thread|mutex|atomic|condition_variable|future|semaphore|prometheus)' "${DECISIONS[@]}"; then
  echo "shape: a decision includes a framework, clock or thread header"
  BAD=1
fi
if grep -rnE '^\s*virtual\b' currantgauge tests bench --include='*.h' --include='*.cc' | grep -v '/generated/'; then
  echo "shape: a virtual function of ours"
  BAD=1
fi
exit $BAD
