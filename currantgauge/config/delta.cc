#include "currantgauge/config/delta.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>
#include <set>
#include <utility>

namespace currantgauge::config {
namespace {

constexpr std::size_t KeptSteps = 4096;

// Parts that any step since Have touched. A step that began before Have names
// more than needed, never less. None when the steps don't reach back to Have.
std::optional<std::set<std::string>> namesSince(const ConfigServer &Server,
                                                base::ConfigVersion Have) {
  if (Have.Value == 0 || Server.Steps.empty() ||
      Server.Steps.front().From > Have)
    return std::nullopt;
  std::set<std::string> Names;
  for (const ConfigStep &Step : Server.Steps)
    if (Step.To > Have)
      Names.insert(Step.Names.begin(), Step.Names.end());
  return Names;
}

} // namespace

void serveDocument(ConfigServer &Server, const ConfigDocument &Document) {
  if (!Document.Parts || Document.Version <= Server.Document.Version)
    return;
  if (Server.Document.Parts)
    Server.Steps.push_back(
        {Server.Document.Version, Document.Version,
         changedParts(*Server.Document.Parts, *Document.Parts)});
  if (Server.Steps.size() > KeptSteps)
    Server.Steps.pop_front();
  Server.Document = Document;
}

ConfigDelta deltaSince(const ConfigServer &Server, base::ConfigVersion Have) {
  const ConfigDocument &Served = Server.Document;
  ConfigDelta Delta{Served.Version, {}, Served.Push, Served.Author,
                    Served.When,    {}, {},          {}};
  if (!Served.Parts)
    return Delta;
  if (Have >= Served.Version)
    return Delta;
  Delta.Whole = hashManifest(*Served.Parts);
  auto Names = namesSince(Server, Have);
  if (!Names) {
    for (const auto &[Name, Part] : Served.Parts->Parts)
      Delta.Changed.push_back(Part);
    return Delta;
  }
  Delta.Since = Have;
  for (const std::string &Name : *Names) {
    auto Found = Served.Parts->Parts.find(Name);
    if (Found == Served.Parts->Parts.end())
      Delta.Removed.push_back(Name);
    else
      Delta.Changed.push_back(Found->second);
  }
  return Delta;
}

std::optional<ConfigDocument> applyDelta(const ConfigDocument &Held,
                                         const ConfigDelta &Delta) {
  if (Delta.Since.Value != 0 && (Delta.Since != Held.Version || !Held.Parts))
    return std::nullopt;
  boost::intrusive_ptr<PartSet> Parts(new PartSet);
  if (Delta.Since.Value != 0)
    Parts->Parts = Held.Parts->Parts;
  for (const std::string &Name : Delta.Removed)
    Parts->Parts.erase(Name);
  for (const ConfigPartPtr &Part : Delta.Changed)
    Parts->Parts[Part->Name] = Part;
  if (hashManifest(*Parts) != Delta.Whole)
    return std::nullopt;
  return ConfigDocument{Delta.Version, Delta.Push, Delta.Author, Delta.When,
                        std::move(Parts)};
}

} // namespace currantgauge::config
