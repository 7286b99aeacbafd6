#include "currantgauge/config/load.h"

#include "currantgauge/config/distribution.h"
#include "currantgauge/config/time_text.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>
#include <string>
#include <utility>

namespace currantgauge::config {
namespace {

constexpr std::size_t MaxConcurrentReads = 16; // of one load

// Reads a part's object, or the manifest if Part is empty.
void readObject(core::State &Node, base::CallId Load, const std::string &Part,
                const StoredPart &Stored, core::EffectList &Effects) {
  std::string Name = Part.empty()
                         ? getManifestObjectName(Node.Config.Loads.at(Load).Row)
                         : getPartObjectName(Stored.Origin, Stored.Hash);
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
                              Load.Row.AcceptedAt, std::move(Parts)};
  }
  if (!Load.OperatorCall)
    return onVersionLoaded(Node, Document, Effects);
  core::OperatorReply Reply;
  Reply.Error = "could not read version " +
                std::to_string(Load.Row.Version.Value) +
                " from the store; try again";
  Effects.push_back(core::AnswerOperator{
      *Load.OperatorCall, Document ? makeDocumentReply(*Document) : Reply});
}

// Takes unchanged parts from the version in force and queues the others for
// reading. Returns false if Bytes isn't the manifest that the load's row
// records.
bool handleManifest(core::State &Node, VersionLoad &Load,
                    const std::string &Bytes) {
  std::optional<StoredManifest> Stored = readStoredManifest(Load.Row, Bytes);
  if (!Stored)
    return false;
  const PartSetPtr &InForce = Node.Config.Document.Parts;
  for (const auto &[Name, Part] : *Stored) {
    auto It =
        InForce ? InForce->Parts.find(Name) : decltype(InForce->Parts.end())();
    if (InForce && It != InForce->Parts.end() && It->second->Hash == Part.Hash)
      Load.Loaded[Name] = It->second;
    else
      Load.ToRead.emplace_back(Name, Part);
  }
  return true;
}

// Handles the content of a part's object, or of the manifest if Part is empty.
// Returns false if it doesn't have the recorded hash.
bool handleObject(core::State &Node, VersionLoad &Load, const std::string &Part,
                  const base::ContentHash &Hash, const std::string &Bytes) {
  if (Part.empty())
    return handleManifest(Node, Load, Bytes);
  if (hashContent(Bytes) != Hash)
    return false;
  Load.Loaded[Part] = makePart(Part, Bytes);
  return true;
}

// Reads the next objects, or finishes the load if none is left.
void readNext(core::State &Node, base::CallId Id, core::EffectList &Effects) {
  VersionLoad &Load = Node.Config.Loads.at(Id);
  while (Load.ReadsInFlight.size() < MaxConcurrentReads &&
         !Load.ToRead.empty()) {
    auto [Part, Stored] = std::move(Load.ToRead.front());
    Load.ToRead.pop_front();
    readObject(Node, Id, Part, Stored, Effects);
  }
  if (Load.ReadsInFlight.empty())
    finishLoad(Node, Id, true, Effects);
}

} // namespace

base::CallId startLoad(core::State &Node, const HeadRow &Row,
                       std::optional<base::CallId> OperatorCall,
                       core::EffectList &Effects) {
  base::CallId Id = core::nextCallId(Node);
  VersionLoad &Load = Node.Config.Loads[Id];
  Load.Row = Row;
  Load.OperatorCall = OperatorCall;
  readObject(Node, Id, "", StoredPart(), Effects);
  return Id;
}

bool onLoadAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects) {
  auto It = Node.Config.LoadCalls.find(Answer.Call);
  if (It == Node.Config.LoadCalls.end())
    return false;
  base::CallId Id = It->second;
  Node.Config.LoadCalls.erase(It);
  VersionLoad &Load = Node.Config.Loads.at(Id);
  auto [Part, Stored] = std::move(Load.ReadsInFlight.at(Answer.Call));
  Load.ReadsInFlight.erase(Answer.Call);
  if (Answer.Result.Status != base::StoreStatus::Done ||
      !handleObject(Node, Load, Part, Stored.Hash, Answer.Result.Bytes))
    finishLoad(Node, Id, false, Effects);
  else
    readNext(Node, Id, Effects);
  return true;
}

core::OperatorReply makeDocumentReply(const ConfigDocument &Document) {
  core::OperatorReply Reply;
  Reply.Fields = {{"version", std::to_string(Document.Version.Value)},
                  {"author", Document.Author},
                  {"when", formatTime(Document.AcceptedAt)},
                  {"push", Document.Push.Value}};
  Reply.Document = Document.Parts;
  return Reply;
}

} // namespace currantgauge::config
