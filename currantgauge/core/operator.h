// What operators ask of a node and what it answers, apart from any encoding.
//
//   OperatorQuery Query = StatusCommand{};
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

// StatusCommand asks for the node's view of the fleet.
struct StatusCommand {};
// ExplainCommand asks for what a node decided on a request.
struct ExplainCommand {
  base::RequestId Request;
};
// DrainCommand takes a backend server out of traffic, or puts it back.
struct DrainCommand {
  base::BackendName Server;
  bool Undo = false;
};
// QuarantineListCommand lists quarantined requests.
struct QuarantineListCommand {};
// QuarantineClearCommand ends a quarantine.
struct QuarantineClearCommand {
  base::Fingerprint Fingerprint;
};
// ConfigShowCommand asks for a version of the configuration, 0 for the one in
// force.
struct ConfigShowCommand {
  base::ConfigVersion Version;
};
// ConfigHistoryCommand asks for the accepted versions.
struct ConfigHistoryCommand {};
// FullPushRequiredError answers a push of changes that don't fit the version in
// force here: the same push has to be sent as a text.
constexpr const char *FullPushRequiredError =
    "this push's changes are not of the version in force; send the whole";
// MissingPartsCommand asks which parts the version in force here has not, so
// that a push need not carry the others. Without Groups, Hashes are those of
// groups of parts; with them, of the parts in those groups
// (config/part_groups.h).
struct MissingPartsCommand {
  std::vector<std::string> Groups;
  config::Manifest Hashes;
};
// PushedPart is one part of a document.
struct PushedPart {
  std::string Name;
  std::string Text;
};
// ConfigPushCommand submits a merged document, valid on top of BaseVersion: its
// text, or what differs from BaseVersion and the hash of the result.
struct ConfigPushCommand {
  std::string Text;
  base::ConfigVersion BaseVersion;
  base::PushId Push;
  std::string Author;
  base::ContentHash DocumentHash; // hashManifest(); empty: Text counts
  std::vector<PushedPart> ChangedParts;
  std::vector<std::string> RemovedParts;
};

using OperatorCommand =
    std::variant<StatusCommand, ExplainCommand, DrainCommand,
                 QuarantineListCommand, QuarantineClearCommand,
                 ConfigShowCommand, ConfigHistoryCommand, MissingPartsCommand,
                 ConfigPushCommand>;

// OperatorTable is one table of an answer: a title, columns and rows.
struct OperatorTable {
  std::string Title;
  std::vector<std::string> Columns;
  std::vector<std::vector<std::string>> Rows;
};

// OperatorReply answers a query. Error is empty on success, else a sentence.
struct OperatorReply {
  std::string Error;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::vector<OperatorTable> Tables;
  std::string Text;
  config::PartSetPtr Document; // of ConfigShowCommand; encoded in place of Text
};

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OPERATOR_H
