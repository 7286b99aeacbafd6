#include "currantgauge/config/build.h"

#include "currantgauge/config/field_map.h"
#include "currantgauge/config/quantity.h"
#include "currantgauge/config/workspace_keys.h"
#include "currantgauge/identity/key_hash.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>
#include <tuple>
#include <utility>
#include <vector>

namespace currantgauge::config {
namespace {

FieldMap makeFieldMap(const DocumentEntry &Entry, const std::string &Path,
                      SettingsErrors &Errors) {
  return FieldMap{&Errors, Path, Entry.Location, Entry.Fields, {}, {}};
}

void readEntry(FieldMap &Map, const std::string &Name, RankSettings &Rank) {
  Rank.Name = base::RankName(Name);
  requireField(Map, "order");
  readValue(Map, "order", Rank.Order);
  readValue(Map, "share", Rank.Share);
  readValue(Map, "deadline", Rank.Deadline);
  readValue(Map, "worth", Rank.Worth);
}

void readEntry(FieldMap &Map, const std::string &Name,
               ServiceSettings &Service) {
  Service.Name = base::ServiceName(Name);
  readValue(Map, "floor", Service.Floor);
  readValue(Map, "hold_off", Service.HoldOff);
  readValue(Map, "hold_off_limit", Service.HoldOffLimit);
  readValue(Map, "queue_length", Service.QueueLength);
  readValue(Map, "queue_bytes", Service.QueueBytes);
  readValue(Map, "retry_budget", Service.RetryBudget);
  readValue(Map, "health_path", Service.HealthPath);
  if (Service.Floor.Value >= 100)
    addFieldError(Map, "floor",
                  " must be below 100%, otherwise no backend server can be "
                  "ejected");
  if (Service.HoldOff > Service.HoldOffLimit)
    addFieldError(Map, "hold_off", " must not be above hold_off_limit");
}

void readEntry(FieldMap &Map, const std::string &Name, KindSettings &Kind) {
  Kind.Name = base::KindName(Name);
  requireField(Map, "service");
  requireField(Map, "rank");
  readName(Map, "service", Kind.Service);
  readName(Map, "rank", Kind.Rank);
  readValue(Map, "deadline", Kind.Deadline);
  readValue(Map, "worth", Kind.Worth);
  readValue(Map, "idempotent", Kind.Idempotent);
  readValue(Map, "hedge", Kind.Hedge);
  readValue(Map, "limit", Kind.Limit);
  readValue(Map, "aim", Kind.Aim);
  readValue(Map, "attempts", Kind.Attempts);
  if (Kind.Attempts == 0)
    addFieldError(Map, "attempts", " must be at least 1");
  if (Map.Fields.contains("deadline") && Kind.Deadline == base::Duration{})
    addFieldError(Map, "deadline", " must be above 0s");
  if (Kind.Hedge && !Kind.Idempotent)
    addFieldError(Map, "hedge",
                  ": a kind with idempotent: false can't be hedged");
}

// Parses a split such as "cutlist=90, stocktally=10". Returns an empty one if
// Text is malformed.
std::vector<ServiceShare> parseSplit(const std::string &Text) {
  std::vector<ServiceShare> Split;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');) {
    std::size_t Start = Part.find_first_not_of(' ');
    std::size_t Equals = Part.rfind('=');
    if (Start == std::string::npos || Equals == std::string::npos ||
        Equals <= Start)
      return {};
    ServiceShare Share;
    Share.Service = base::ServiceName(Part.substr(Start, Equals - Start));
    const char *End = Part.data() + Part.size();
    auto Result = std::from_chars(Part.data() + Equals + 1, End, Share.Weight);
    if (Result.ec != std::errc() || Result.ptr != End)
      return {};
    Split.push_back(std::move(Share));
  }
  return Split;
}

void readSplit(FieldMap &Map, RouteSettings &Route) {
  std::string Text;
  readValue(Map, "split", Text);
  if (Text.empty())
    return;
  Route.Split = parseSplit(Text);
  auto HasWeight = [](const ServiceShare &Part) { return Part.Weight > 0; };
  if (std::none_of(Route.Split.begin(), Route.Split.end(), HasWeight))
    addFieldError(Map, "split",
                  ": \"" + Text +
                      "\" must list services with weights, such as "
                      "cutlist=90, stocktally=10, with at least one weight "
                      "above 0");
}

void readEntry(FieldMap &Map, const std::string &Name, RouteSettings &Route) {
  Route.Name = Name;
  requireField(Map, "prefix");
  requireField(Map, "kind");
  readValue(Map, "host", Route.Host);
  readValue(Map, "deadline", Route.Deadline);
  readValue(Map, "attempts", Route.Attempts);
  readValue(Map, "public", Route.Public);
  readSplit(Map, Route);
  readValue(Map, "method", Route.Method);
  readValue(Map, "prefix", Route.Prefix);
  readName(Map, "kind", Route.Kind);
  auto IsUpper = [](char Symbol) { return Symbol >= 'A' && Symbol <= 'Z'; };
  if (!std::all_of(Route.Method.begin(), Route.Method.end(), IsUpper))
    addFieldError(Map, "method", " must be in upper case, such as GET");
  auto IsCapital = [](char Symbol) { return Symbol >= 'A' && Symbol <= 'Z'; };
  if (std::any_of(Route.Host.begin(), Route.Host.end(), IsCapital) ||
      Route.Host.find(':') != std::string::npos)
    addFieldError(Map, "host", " must be in lower case and without a port");
  if (!Route.Prefix.starts_with('/') ||
      Route.Prefix.find_first_of("?#") != std::string::npos)
    addFieldError(Map, "prefix",
                  ": \"" + Route.Prefix +
                      "\" must start with a slash and not contain ? or #");
}

void readFleetLimit(FieldMap &Map, WorkspaceSettings &Workspace) {
  readValue(Map, "fleet_limit", Workspace.FleetLimit);
  readValue(Map, "fleet_burst", Workspace.FleetBurst);
  if (!Map.Fields.contains("fleet_burst"))
    return;
  if (Workspace.FleetLimit == base::PerSecond{})
    addFieldError(Map, "fleet_burst", " requires that fleet_limit is set, too");
  if (Workspace.FleetBurst < 1)
    addFieldError(Map, "fleet_burst", " must be at least 1");
}

void readEntry(FieldMap &Map, const std::string &Name,
               WorkspaceSettings &Workspace) {
  Workspace.Name = base::WorkspaceName(Name);
  readValue(Map, "limit", Workspace.Limit);
  readValue(Map, "burst", Workspace.Burst);
  readValue(Map, "weight", Workspace.Weight);
  if (Workspace.Burst > 0 && Workspace.Limit == base::PerSecond{})
    addFieldError(Map, "burst", " requires that limit is set, too");
  if (Workspace.Weight <= 0)
    addFieldError(Map, "weight", " must be above 0");
  readFleetLimit(Map, Workspace);
  readName(Map, "rank", Workspace.Rank);
  readKeys(Map, Workspace);
}

void readCallerIdentity(FieldMap &Map, Configuration &Config) {
  std::string Unlisted = "accept";
  readValue(Map, "unlisted_workspaces", Unlisted);
  Config.AcceptUnlistedWorkspaces = Unlisted == "accept";
  if (Unlisted != "accept" && Unlisted != "refuse")
    addFieldError(Map, "unlisted_workspaces",
                  ": \"" + Unlisted + "\" is neither accept nor refuse");
  std::string Callers = "by_name";
  readValue(Map, "callers", Callers);
  Config.RequiresKeys = Callers == "by_key";
  if (Callers != "by_name" && Callers != "by_key")
    addFieldError(Map, "callers",
                  ": \"" + Callers + "\" is neither by_name nor by_key");
  // Requests of public routes have no workspace.
  if (Config.RequiresKeys && !Config.AcceptUnlistedWorkspaces)
    addFieldError(Map, "unlisted_workspaces",
                  ": refuse has no use with callers: by_key");
}

void readFleet(FieldMap &Map, Configuration &Config) {
  readValue(Map, "link_bytes_per_second", Config.Link.BytesPerSecond);
  readValue(Map, "other_node_cost", Config.Placement.OtherNodeCost);
  readValue(Map, "other_domain_cost", Config.Placement.OtherDomainCost);
  readValue(Map, "other_region_cost", Config.Placement.OtherRegionCost);
  for (const auto &[Key, Cost] :
       {std::pair("other_node_cost", Config.Placement.OtherNodeCost),
        std::pair("other_domain_cost", Config.Placement.OtherDomainCost),
        std::pair("other_region_cost", Config.Placement.OtherRegionCost)})
    if (Cost < 0)
      addFieldError(Map, Key, " must not be below 0");
  readValue(Map, "header_limit", Config.Callers.HeaderLimit);
  readValue(Map, "body_limit", Config.Callers.BodyLimit);
  readValue(Map, "header_time", Config.Callers.ReadTimeout);
  readValue(Map, "caller_idle", Config.Callers.IdleTimeout);
  readCallerIdentity(Map, Config);
}

const DocumentSection &getSection(const Document &Merged,
                                  std::string_view Name) {
  static const DocumentSection Empty;
  auto It = Merged.Sections.find(Name);
  return It == Merged.Sections.end() ? Empty : It->second;
}

template <typename Settings, typename Target>
void readSection(const Document &Merged, std::string_view Section,
                 Target &Entries, SettingsErrors &Errors) {
  for (const auto &[Name, Entry] : getSection(Merged, Section)) {
    FieldMap Map =
        makeFieldMap(Entry, std::string(Section) + "." + Name, Errors);
    Settings EntrySettings;
    readEntry(Map, Name, EntrySettings);
    reportUnknownKeys(Map);
    Entries[decltype(EntrySettings.Name)(Name)] = std::move(EntrySettings);
  }
}

// Checker adds errors for values that are well-formed but conflict with other
// entries. Their locations are taken from Merged, if it has the entry.
struct Checker {
  const Document &Merged;
  SettingsErrors &Errors;

  void addEntryError(std::string_view Section, const std::string &Name,
                     const std::string &Key, const std::string &Text) const {
    const DocumentSection &Entries = getSection(this->Merged, Section);
    std::string Path = std::string(Section) + "." + Name;
    auto It = Entries.find(Name);
    if (It == Entries.end())
      return addError(this->Errors, SourceLocation{}, Path + "." + Key + Text);
    addFieldError(makeFieldMap(It->second, Path, this->Errors), Key, Text);
  }
};

template <typename Map> std::vector<std::string> listNames(const Map &Entries) {
  std::vector<std::string> Names;
  for (const auto &[Name, Settings] : Entries)
    Names.push_back(Name.Value);
  return Names;
}

template <typename Map, typename Name>
void checkReference(const Checker &Check, const std::string &Section,
                    const std::string &Entry, const std::string &Key,
                    const Name &Reference, const Map &Entries) {
  if (Reference.empty() || Entries.contains(Reference))
    return;
  std::string Nearest = findNearestName(Reference.Value, listNames(Entries));
  Check.addEntryError(
      Section, Entry, Key,
      ": there is no " + Key + " " + Reference.Value +
          (Nearest.empty() ? "" : "; did you mean " + Nearest + "?"));
}

void checkRanks(const Checker &Check, const Configuration &Config) {
  double Sum = 0;
  std::map<std::uint32_t, std::string> ByOrder;
  for (const auto &[Name, Rank] : Config.Ranks) {
    Sum += Rank.Share.Value;
    auto [It, IsNew] = ByOrder.emplace(Rank.Order, Name.Value);
    if (!IsNew)
      Check.addEntryError("ranks", Name.Value, "order",
                          " is already used by rank " + It->second);
  }
  if (Sum > 100)
    for (const auto &[Name, Rank] : Config.Ranks)
      Check.addEntryError("ranks", Name.Value, "share",
                          ": the shares of all ranks add up to more than 100%");
}

void checkKinds(const Checker &Check, const Configuration &Config) {
  for (const auto &[Name, Kind] : Config.Kinds) {
    checkReference(Check, "kinds", Name.Value, "service", Kind.Service,
                   Config.Services);
    checkReference(Check, "kinds", Name.Value, "rank", Kind.Rank, Config.Ranks);
    auto It = Config.Ranks.find(Kind.Rank);
    if (It != Config.Ranks.end() && Kind.Deadline == base::Duration{} &&
        It->second.Deadline == base::Duration{})
      Check.addEntryError("kinds", Name.Value, "deadline",
                          " is missing, and rank " + Kind.Rank.Value +
                              " has no deadline either");
  }
}

void checkRoutes(const Checker &Check, const Configuration &Config) {
  using Key = std::tuple<std::string_view, std::string_view, std::string_view>;
  std::map<Key, std::string_view> RouteNames;
  for (const auto &[Name, Route] : Config.Routes) {
    checkReference(Check, "routes", Name, "kind", Route.Kind, Config.Kinds);
    for (const ServiceShare &Part : Route.Split)
      checkReference(Check, "routes", Name, "service", Part.Service,
                     Config.Services);
    auto [It, IsNew] =
        RouteNames.emplace(Key(Route.Host, Route.Method, Route.Prefix), Name);
    if (!IsNew)
      Check.addEntryError("routes", Name, "prefix",
                          ": route " + std::string(It->second) +
                              " has the same method and prefix" +
                              (Route.Host.empty() ? "" : " for the same host"));
  }
}

void checkRank(const Checker &Check, const WorkspaceSettings &Workspace,
               const Configuration &Config) {
  checkReference(Check, "workspaces", Workspace.Name.Value, "rank",
                 Workspace.Rank, Config.Ranks);
}

void checkRanksOfWorkspaces(const Checker &Check, const Configuration &Config) {
  for (const auto &Bucket : Config.Workspaces.Buckets)
    if (Bucket)
      for (const auto &[Name, Workspace] : Bucket->Entries)
        checkRank(Check, Workspace, Config);
}

// Errors show part of a key's hash, by which an operator can find the key.
void indexKeys(const Checker &Check, Configuration &Config) {
  constexpr std::size_t ShownCharacters = 15; // the prefix and 8 digits
  for (const auto &[Name, Entry] : getSection(Check.Merged, "workspaces")) {
    base::WorkspaceName Workspace(Name);
    const auto *Settings = Config.Workspaces.find(Workspace);
    if (!Settings)
      continue;
    for (base::KeyHash Key : Settings->second.Keys)
      if (!identity::insertKey(Config.Keys, Key, Workspace))
        Check.addEntryError(
            "workspaces", Name, "keys",
            ": key " + identity::formatKeyHash(Key).substr(0, ShownCharacters) +
                " belongs to workspace " +
                identity::findByKey(Config.Keys, Key)->Value + " as well");
  }
}

// Sets the deadline and worth of kinds that set none to those of their rank.
void inheritFromRanks(const Document &Merged, Configuration &Config) {
  const DocumentSection &Kinds = getSection(Merged, "kinds");
  for (auto &[Name, Kind] : Config.Kinds) {
    auto RankIt = Config.Ranks.find(Kind.Rank);
    auto It = Kinds.find(Name.Value);
    if (RankIt == Config.Ranks.end() || It == Kinds.end())
      continue;
    if (!It->second.Fields.contains("deadline"))
      Kind.Deadline = RankIt->second.Deadline;
    if (!It->second.Fields.contains("worth"))
      Kind.Worth = RankIt->second.Worth;
  }
}

} // namespace

void buildConfiguration(const Document &Merged, Configuration &Config,
                        SettingsErrors &Errors) {
  for (const auto &[Name, Entry] : getSection(Merged, FleetSection)) {
    FieldMap Map = makeFieldMap(Entry, std::string(FleetSection), Errors);
    readFleet(Map, Config);
    reportUnknownKeys(Map);
  }
  readSection<RankSettings>(Merged, "ranks", Config.Ranks, Errors);
  readSection<ServiceSettings>(Merged, "services", Config.Services, Errors);
  readSection<KindSettings>(Merged, "kinds", Config.Kinds, Errors);
  readSection<RouteSettings>(Merged, "routes", Config.Routes, Errors);
  readSection<WorkspaceSettings>(Merged, "workspaces", Config.Workspaces,
                                 Errors);
  inheritFromRanks(Merged, Config);
  indexKeys({Merged, Errors}, Config);
}

void checkWorkspaceRanks(const Document &Merged, const Configuration &Config,
                         SettingsErrors &Errors) {
  Checker Check{Merged, Errors};
  for (const auto &[Name, Entry] : getSection(Merged, "workspaces"))
    if (const auto *Found = Config.Workspaces.find(base::WorkspaceName(Name)))
      checkRank(Check, Found->second, Config);
}

void checkConfiguration(const Document &Merged, const Configuration &Config,
                        SettingsErrors &Errors) {
  Checker Check{Merged, Errors};
  checkRanks(Check, Config);
  checkKinds(Check, Config);
  checkRoutes(Check, Config);
  checkRanksOfWorkspaces(Check, Config);
}

} // namespace currantgauge::config
