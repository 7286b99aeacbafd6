#include "currantgauge/config/delta.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>
#include <set>
#include <utility>

namespace currantgauge::config {
namespace {

// A peer that is further behind gets the whole document.
constexpr std::size_t MaxSteps = 4096;

// Returns the names of the parts that any step to a version after HeldVersion
// changed, none if the recorded steps don't reach back that far. A step that
// starts before HeldVersion and ends after it may add parts that the peer has
// already.
std::optional<std::set<std::string>>
findChangedNames(const ConfigServer &Server, base::ConfigVersion HeldVersion) {
  if (HeldVersion.Value == 0 || Server.Steps.empty() ||
      Server.Steps.front().From > HeldVersion)
    return std::nullopt;
  std::set<std::string> Names;
  for (const ConfigStep &Step : Server.Steps)
    if (Step.To > HeldVersion)
      Names.insert(Step.PartNames.begin(), Step.PartNames.end());
  return Names;
}

} // namespace

void serveDocument(ConfigServer &Server, const ConfigDocument &Document) {
  if (!Document.Parts || Document.Version <= Server.Document.Version)
    return;
  if (Server.Document.Parts)
    Server.Steps.push_back(
        {Server.Document.Version, Document.Version,
         findChangedParts(*Server.Document.Parts, *Document.Parts)});
  if (Server.Steps.size() > MaxSteps)
    Server.Steps.pop_front();
  Server.Document = Document;
}

ConfigDelta deltaSince(const ConfigServer &Server,
                       base::ConfigVersion HeldVersion) {
  const ConfigDocument &Served = Server.Document;
  ConfigDelta Delta{Served.Version,    {}, Served.Push, Served.Author,
                    Served.AcceptedAt, {}, {},          {}};
  if (!Served.Parts)
    return Delta;
  if (HeldVersion >= Served.Version)
    return Delta;
  Delta.ManifestHash = hashManifest(*Served.Parts);
  auto Names = findChangedNames(Server, HeldVersion);
  if (!Names) {
    for (const auto &[Name, Part] : Served.Parts->Parts)
      Delta.Changed.push_back(Part);
    return Delta;
  }
  Delta.Since = HeldVersion;
  for (const std::string &Name : *Names) {
    auto It = Served.Parts->Parts.find(Name);
    if (It == Served.Parts->Parts.end())
      Delta.Removed.push_back(Name);
    else
      Delta.Changed.push_back(It->second);
  }
  return Delta;
}

std::optional<ConfigDocument> applyDelta(const ConfigDocument &Base,
                                         const ConfigDelta &Delta) {
  if (Delta.Since.Value != 0 && (Delta.Since != Base.Version || !Base.Parts))
    return std::nullopt;
  boost::intrusive_ptr<PartSet> Parts(new PartSet);
  if (Delta.Since.Value != 0)
    Parts->Parts = Base.Parts->Parts;
  for (const std::string &Name : Delta.Removed)
    Parts->Parts.erase(Name);
  for (const ConfigPartPtr &Part : Delta.Changed)
    Parts->Parts[Part->Name] = Part;
  if (hashManifest(*Parts) != Delta.ManifestHash)
    return std::nullopt;
  return ConfigDocument{Delta.Version, Delta.Push, Delta.Author,
                        Delta.AcceptedAt, std::move(Parts)};
}

} // namespace currantgauge::config
