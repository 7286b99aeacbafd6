#include "currantgauge/config/load.h"

#include "currantgauge/config/distribution.h"
#include "currantgauge/config/time_text.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>
#include <string>
#include <utility>

namespace currantgauge::config {
namespace {

constexpr std::size_t ReadsAtOnce = 16;

// The manifest is the part without a name.
void readObject(core::State &Node, base::CallId Load, const std::string &Part,
                const StoredPart &Stored, core::EffectList &Effects) {
  std::string Name = Part.empty()
                         ? manifestObject(Node.Config.Loads.at(Load).Row)
                         : partObject(Stored.Origin, Stored.Hash);
  base::CallId Call = callStore(Node, base::GetObject{Name}, Effects);
  Node.Config.Loads.at(Load).ReadsInFlight[Call] = {Part, Stored};
  Node.Config.LoadCalls[Call] = Load;
}

void finishLoad(core::State &Node, base::CallId Id, bool Succeeded,
                core::EffectList &Effects) {
  VersionLoad Load = std::move(Node.Config.Loads.at(Id));
  Node.Config.Loads.erase(Id);
  for (const auto &[Call, Part] : Load.ReadsInFlight)
    Node.Config.LoadCalls.erase(Call);
  std::optional<ConfigDocument> Document;
  if (Succeeded) {
    boost::intrusive_ptr<PartSet> Parts(new PartSet);
    Parts->Parts = std::move(Load.Loaded);
    Document = ConfigDocument{Load.Row.Version, Load.Row.Push, Load.Row.Author,
                              Load.Row.When, std::move(Parts)};
  }
  if (!Load.OperatorCall)
    return onVersionLoaded(Node, Document, Effects);
  core::OperatorReply Reply;
  Reply.Error = "the store does not give version " +
                std::to_string(Load.Row.Version.Value) + "; try again";
  Effects.push_back(core::AnswerOperator{
      *Load.OperatorCall, Document ? documentReply(*Document) : Reply});
}

// Parts that the version in force here shares are not read again.
bool takeManifest(core::State &Node, VersionLoad &Load,
                  const std::string &Bytes) {
  std::optional<StoredManifest> Stored = readStored(Load.Row, Bytes);
  if (!Stored)
    return false;
  const PartSetPtr &Held = Node.Config.Document.Parts;
  for (const auto &[Name, Part] : *Stored) {
    auto Own = Held ? Held->Parts.find(Name) : decltype(Held->Parts.end())();
    if (Held && Own != Held->Parts.end() && Own->second->Hash == Part.Hash)
      Load.Loaded[Name] = Own->second;
    else
      Load.ToRead.emplace_back(Name, Part);
  }
  return true;
}

bool takeObject(core::State &Node, VersionLoad &Load, const std::string &Part,
                const base::ContentHash &Hash, const std::string &Bytes) {
  if (Part.empty())
    return takeManifest(Node, Load, Bytes);
  if (hashContent(Bytes) != Hash)
    return false;
  Load.Loaded[Part] = makePart(Part, Bytes);
  return true;
}

void readNext(core::State &Node, base::CallId Id, core::EffectList &Effects) {
  VersionLoad &Load = Node.Config.Loads.at(Id);
  while (Load.ReadsInFlight.size() < ReadsAtOnce && !Load.ToRead.empty()) {
    auto [Part, Stored] = std::move(Load.ToRead.front());
    Load.ToRead.pop_front();
    readObject(Node, Id, Part, Stored, Effects);
  }
  if (Load.ReadsInFlight.empty())
    finishLoad(Node, Id, true, Effects);
}

} // namespace

base::CallId startLoad(core::State &Node, const HeadRow &Row,
                       std::optional<base::CallId> Operator,
                       core::EffectList &Effects) {
  base::CallId Id = core::nextCallId(Node);
  VersionLoad &Load = Node.Config.Loads[Id];
  Load.Row = Row;
  Load.OperatorCall = Operator;
  readObject(Node, Id, "", StoredPart(), Effects);
  return Id;
}

bool onLoadAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects) {
  auto Found = Node.Config.LoadCalls.find(Answer.Call);
  if (Found == Node.Config.LoadCalls.end())
    return false;
  base::CallId Id = Found->second;
  Node.Config.LoadCalls.erase(Found);
  VersionLoad &Load = Node.Config.Loads.at(Id);
  auto [Part, Stored] = std::move(Load.ReadsInFlight.at(Answer.Call));
  Load.ReadsInFlight.erase(Answer.Call);
  if (Answer.Result.Status != base::StoreStatus::Done ||
      !takeObject(Node, Load, Part, Stored.Hash, Answer.Result.Bytes))
    finishLoad(Node, Id, false, Effects);
  else
    readNext(Node, Id, Effects);
  return true;
}

core::OperatorReply documentReply(const ConfigDocument &Document) {
  core::OperatorReply Reply;
  Reply.Fields = {{"version", std::to_string(Document.Version.Value)},
                  {"author", Document.Author},
                  {"when", formatTime(Document.When)},
                  {"push", Document.Push.Value}};
  Reply.Document = Document.Parts;
  return Reply;
}

} // namespace currantgauge::config
