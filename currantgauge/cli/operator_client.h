// The operators' client: one query to one node, one reply.
//
//   core::OperatorReply Reply = askNode(Given, core::StatusCommand{});
//   if (!Reply.Error.empty()) ...
#ifndef CURRANTGAUGE_CLI_OPERATOR_CLIENT_H
#define CURRANTGAUGE_CLI_OPERATOR_CLIENT_H

#include "currantgauge/cli/options.h"
#include "currantgauge/core/operator.h"

namespace currantgauge::cli {

// NodeAnswer is a node's reply. Reached is false when the query may not have
// arrived or its reply is lost; Reply.Error says so.
struct NodeAnswer {
  bool Reached = false;
  core::OperatorReply Reply;
};

// askNode() sends a query to Given.Node and waits for its reply, at most
// Given.TimeLimit.
NodeAnswer askNode(const Options &Given, const core::OperatorCommand &Query);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_OPERATOR_CLIENT_H
