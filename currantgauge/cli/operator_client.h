// Client of a node's operators' listener: sends one query and returns its
// reply.
//
//   QueryResult Result = queryNode(Opts, core::StatusCommand{});
//   if (!Result.Reply.Error.empty()) ...
#ifndef CURRANTGAUGE_CLI_OPERATOR_CLIENT_H
#define CURRANTGAUGE_CLI_OPERATOR_CLIENT_H

#include "currantgauge/cli/options.h"
#include "currantgauge/core/operator.h"

namespace currantgauge::cli {

// QueryResult is the result of a query. If ReplyReceived is false, Reply.Error
// holds the reason, and the node may or may not have executed the query. A
// reply may hold an error too.
struct QueryResult {
  bool ReplyReceived = false;
  core::OperatorReply Reply;
};

// queryNode() sends a query to Opts.NodeAddress. Opts.Timeout limits the time
// from connecting until the reply is received.
QueryResult queryNode(const Options &Opts, const core::OperatorCommand &Query);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_OPERATOR_CLIENT_H
