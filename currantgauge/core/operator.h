// Operator commands and their replies, independent of their encoding.
//
//   OperatorCommand Command = StatusCommand{};
#ifndef CURRANTGAUGE_CORE_OPERATOR_H
#define CURRANTGAUGE_CORE_OPERATOR_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/parts.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::core {

// StatusCommand returns the node's view of the fleet.
struct StatusCommand {};
// ExplainCommand returns the node's decisions about a request.
struct ExplainCommand {
  base::RequestId Request;
};
// DrainCommand stops this node from sending attempts to a backend server, or
// with Undo lets it resume. Other nodes don't learn of it.
struct DrainCommand {
  base::BackendName Server;
  bool Undo = false;
};
// QuarantineListCommand lists quarantined requests.
struct QuarantineListCommand {};
// QuarantineClearCommand removes a request from quarantine.
struct QuarantineClearCommand {
  base::Fingerprint Fingerprint;
};
// ConfigShowCommand returns a version of the configuration; 0 is the version in
// force.
struct ConfigShowCommand {
  base::ConfigVersion Version;
};
// ConfigHistoryCommand lists the accepted versions of the configuration.
struct ConfigHistoryCommand {};
// FullPushRequiredError rejects a push of changes that aren't based on the
// version in force here. The client then repeats the push with the full text.
constexpr const char *FullPushRequiredError =
    "this push's changes are not of the version in force; send the whole";
// MissingPartsCommand returns which parts are missing from the version in force
// here, so that a push sends only those. If Groups is empty, Hashes are the
// hashes of groups of parts; otherwise, of the parts in those groups
// (config/part_groups.h).
struct MissingPartsCommand {
  std::vector<std::string> Groups;
  config::Manifest Hashes;
};
// PushedPart is one part of a pushed document.
struct PushedPart {
  std::string Name;
  std::string Text;
};
// ConfigPushCommand submits a merged document based on BaseVersion: either its
// full text, or the differences to BaseVersion and the hash of the result.
struct ConfigPushCommand {
  std::string Text;
  base::ConfigVersion BaseVersion;
  base::PushId Push;
  std::string Author;
  base::ContentHash ManifestHash; // hashManifest(); empty: Text is the document
  std::vector<PushedPart> ChangedParts;
  std::vector<std::string> RemovedParts;
};

using OperatorCommand =
    std::variant<StatusCommand, ExplainCommand, DrainCommand,
                 QuarantineListCommand, QuarantineClearCommand,
                 ConfigShowCommand, ConfigHistoryCommand, MissingPartsCommand,
                 ConfigPushCommand>;

// OperatorTable is a table in a reply.
struct OperatorTable {
  std::string Title;
  std::vector<std::string> Columns;
  std::vector<std::vector<std::string>> Rows;
};

// OperatorReply is the reply to a command. Error is empty on success, else a
// message for the operator.
struct OperatorReply {
  std::string Error;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::vector<OperatorTable> Tables;
  std::string Text;
  config::PartSetPtr Document; // of ConfigShowCommand; encoded in place of Text
};

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OPERATOR_H
