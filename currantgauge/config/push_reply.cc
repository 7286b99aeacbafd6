#include "currantgauge/config/push_reply.h"

#include "currantgauge/config/diff.h"
#include "currantgauge/config/parts.h"
#include "currantgauge/config/time_text.h"

#include <cstddef>

namespace currantgauge::config {
namespace {

constexpr std::size_t ShownChanges = 100;

core::OperatorTable changesTable(const PartSetPtr &InForce,
                                 const PartSetPtr &Pushed) {
  core::OperatorTable Table{"changes", {"entry", "in force", "pushed"}, {}};
  PartSet Nothing;
  const PartSet &Old = InForce ? *InForce : Nothing;
  auto TextOf = [](const PartSet &Whole, const std::string &Name) {
    auto Found = Whole.Parts.find(Name);
    return Found == Whole.Parts.end() ? std::string() : Found->second->Text;
  };
  for (const std::string &Name : changedParts(Old, *Pushed))
    for (const DocumentChange &Change :
         diffDocuments(TextOf(Old, Name), TextOf(*Pushed, Name)))
      if (Table.Rows.size() < ShownChanges)
        Table.Rows.push_back({Change.Name, Change.Old, Change.New});
  return Table;
}

} // namespace

core::OperatorReply failure(const std::string &Text) {
  core::OperatorReply Reply;
  Reply.Error = Text;
  return Reply;
}

core::OperatorReply acceptedReply(const HeadRow &Row) {
  core::OperatorReply Reply;
  Reply.Fields = {{"version", std::to_string(Row.Version.Value)},
                  {"push", Row.Push.Value},
                  {"author", Row.Author},
                  {"accepted", "true"}};
  return Reply;
}

core::OperatorReply staleReply(const core::State &Node) {
  const PendingPush &Push = *Node.Config.Push;
  const ConfigDocument &Present = Node.Config.Document;
  bool IsHere = Present.Version >= Push.Head.Version;
  HeadRow Winner = Push.Head;
  if (IsHere)
    Winner = HeadRow{Present.Version, Present.Push, Present.Author,
                     Present.When,    {},           ""};
  core::OperatorReply Reply = failure(
      "not accepted: version " + std::to_string(Winner.Version.Value) + " by " +
      Winner.Author + " came first; this push changes version " +
      std::to_string(Push.Asked.Base.Value));
  Reply.Fields = {{"version", std::to_string(Winner.Version.Value)},
                  {"author", Winner.Author},
                  {"when", formatTime(Winner.When)},
                  {"push", Winner.Push.Value}};
  if (IsHere)
    Reply.Tables.push_back(changesTable(Present.Parts, Push.Parts));
  return Reply;
}

} // namespace currantgauge::config
