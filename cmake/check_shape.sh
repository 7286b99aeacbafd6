#!/usr/bin/env bash
# Checks that the decision code includes no framework, clock or thread header and
# that no class of this project declares a virtual function.
set -euo pipefail
cd "$(dirname "$0")/.."
BAD=0
DECISIONS=(currantgauge/{base,core,routing,admission,actions,membership,config,identity})
if grep -rnE '#include *[<"](caf/|grpc|google/protobuf|boost/(beast|asio)|gflags|log4cplus|chrono|ctime|time\.h|sys/time|thread|mutex|atomic|condition_variable|future|semaphore|prometheus)' "${DECISIONS[@]}"; then
  echo "shape: decision code includes a framework, clock or thread header"
  BAD=1
fi
if grep -rnE '^\s*virtual\b' currantgauge tests bench --include='*.h' --include='*.cc' | grep -v '/generated/'; then
  echo "shape: project code declares a virtual function"
  BAD=1
fi
exit $BAD
