#include "currantgauge/config/push_reply.h"

#include "currantgauge/config/diff.h"
#include "currantgauge/config/parts.h"
#include "currantgauge/config/time_text.h"

#include <cstddef>

namespace currantgauge::config {
namespace {

constexpr std::size_t MaxShownChanges = 100; // entries

// Lists the entries that differ between the version in force and the pushed
// document.
core::OperatorTable makeChangesTable(const PartSetPtr &InForce,
                                     const PartSetPtr &Pushed) {
  core::OperatorTable Table{"changes", {"entry", "in force", "pushed"}, {}};
  PartSet EmptySet;
  const PartSet &Old = InForce ? *InForce : EmptySet;
  auto FindText = [](const PartSet &Document, const std::string &Name) {
    auto It = Document.Parts.find(Name);
    return It == Document.Parts.end() ? std::string() : It->second->Text;
  };
  for (const std::string &Name : findChangedParts(Old, *Pushed))
    for (const DocumentChange &Change :
         diffDocuments(FindText(Old, Name), FindText(*Pushed, Name)))
      if (Table.Rows.size() < MaxShownChanges)
        Table.Rows.push_back({Change.Name, Change.Old, Change.New});
  return Table;
}

} // namespace

core::OperatorReply makeErrorReply(const std::string &Text) {
  core::OperatorReply Reply;
  Reply.Error = Text;
  return Reply;
}

core::OperatorReply makeAcceptedReply(const HeadRow &Row) {
  core::OperatorReply Reply;
  Reply.Fields = {{"version", std::to_string(Row.Version.Value)},
                  {"push", Row.Push.Value},
                  {"author", Row.Author},
                  {"accepted", "true"}};
  return Reply;
}

core::OperatorReply makeStaleReply(const core::State &Node) {
  const PendingPush &Push = *Node.Config.Push;
  const ConfigDocument &InForce = Node.Config.Document;
  bool IsWinnerInForce = InForce.Version >= Push.Head.Version;
  HeadRow Winner = Push.Head;
  if (IsWinnerInForce)
    Winner = HeadRow{InForce.Version,    InForce.Push, InForce.Author,
                     InForce.AcceptedAt, {},           ""};
  core::OperatorReply Reply = makeErrorReply(
      "not accepted: version " + std::to_string(Winner.Version.Value) + " by " +
      Winner.Author + " came first; this push changes version " +
      std::to_string(Push.Request.BaseVersion.Value));
  Reply.Fields = {{"version", std::to_string(Winner.Version.Value)},
                  {"author", Winner.Author},
                  {"when", formatTime(Winner.AcceptedAt)},
                  {"push", Winner.Push.Value}};
  if (IsWinnerInForce)
    Reply.Tables.push_back(makeChangesTable(InForce.Parts, Push.Parts));
  return Reply;
}

} // namespace currantgauge::config
