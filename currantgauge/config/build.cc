#include "currantgauge/config/build.h"

#include "currantgauge/config/field_map.h"
#include "currantgauge/config/quantity.h"

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

FieldMap openEntry(const DocumentEntry &Entry, const std::string &Path,
                   SettingsErrors &Errors) {
  return FieldMap{&Errors, Path, Entry.Where, Entry.Fields, {}, {}};
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
    noteField(Map, "floor",
              ": 100% can't hold, one sick backend server would break it");
  if (Service.HoldOff > Service.HoldOffLimit)
    noteField(Map, "hold_off", " is above hold_off_limit");
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
    noteField(Map, "attempts", " must be at least 1");
  if (Map.Fields.contains("deadline") && Kind.Deadline == base::Duration{})
    noteField(Map, "deadline", " must be above 0s");
  if (Kind.Hedge && !Kind.Idempotent)
    noteField(Map, "hedge", ": a non-idempotent kind is never hedged");
}

// A split is written "cutlist=90, stocktally=10".
std::vector<ServiceShare> parseSplit(const std::string &Text) {
  std::vector<ServiceShare> Split;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');) {
    std::size_t Start = Part.find_first_not_of(' ');
    std::size_t Equals = Part.rfind('=');
    if (Start == std::string::npos || Equals == std::string::npos ||
        Equals <= Start)
      return {};
    ServiceShare Share;
    Share.Service = base::ServiceName(Part.substr(Start, Equals - Start));
    const char *End = Part.data() + Part.size();
    auto Read = std::from_chars(Part.data() + Equals + 1, End, Share.Weight);
    if (Read.ec != std::errc() || Read.ptr != End)
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
    noteField(Map, "split",
              ": \"" + Text + "\" is not of the form cutlist=90, other=10");
}

void readEntry(FieldMap &Map, const std::string &Name, RouteSettings &Route) {
  Route.Name = Name;
  requireField(Map, "prefix");
  requireField(Map, "kind");
  readValue(Map, "host", Route.Host);
  readValue(Map, "deadline", Route.Deadline);
  readValue(Map, "attempts", Route.Attempts);
  readSplit(Map, Route);
  readValue(Map, "method", Route.Method);
  readValue(Map, "prefix", Route.Prefix);
  readName(Map, "kind", Route.Kind);
  auto IsUpper = [](char Symbol) { return Symbol >= 'A' && Symbol <= 'Z'; };
  if (!std::all_of(Route.Method.begin(), Route.Method.end(), IsUpper))
    noteField(Map, "method", " must be in capitals, such as GET");
  auto IsCapital = [](char Symbol) { return Symbol >= 'A' && Symbol <= 'Z'; };
  if (std::any_of(Route.Host.begin(), Route.Host.end(), IsCapital) ||
      Route.Host.find(':') != std::string::npos)
    noteField(Map, "host", " must be in small letters and without a port");
  if (!Route.Prefix.starts_with('/') ||
      Route.Prefix.find_first_of("?#") != std::string::npos)
    noteField(Map, "prefix",
              ": \"" + Route.Prefix + "\" must start with a slash");
}

void readEntry(FieldMap &Map, const std::string &Name,
               WorkspaceSettings &Workspace) {
  Workspace.Name = base::WorkspaceName(Name);
  readValue(Map, "limit", Workspace.Limit);
  readValue(Map, "burst", Workspace.Burst);
  readValue(Map, "weight", Workspace.Weight);
  if (Workspace.Burst > 0 && Workspace.Limit == base::PerSecond{})
    noteField(Map, "burst", " needs a limit beside it");
  if (Workspace.Weight <= 0)
    noteField(Map, "weight", " must be above 0");
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
      noteField(Map, Key, ": costs must not be below 0");
  readValue(Map, "header_limit", Config.Callers.HeaderLimit);
  readValue(Map, "body_limit", Config.Callers.BodyLimit);
  readValue(Map, "header_time", Config.Callers.ReadTimeout);
  readValue(Map, "caller_idle", Config.Callers.IdleTimeout);
  std::string Unlisted = "accept";
  readValue(Map, "unlisted_workspaces", Unlisted);
  Config.AcceptUnlistedWorkspaces = Unlisted == "accept";
  if (Unlisted != "accept" && Unlisted != "refuse")
    noteField(Map, "unlisted_workspaces",
              ": \"" + Unlisted + "\" is not accept or refuse");
}

const DocumentSection &sectionOf(const Document &Merged,
                                 std::string_view Name) {
  static const DocumentSection Empty;
  auto Found = Merged.Sections.find(Name);
  return Found == Merged.Sections.end() ? Empty : Found->second;
}

template <typename Settings, typename Target>
void readSection(const Document &Merged, std::string_view Section,
                 Target &Entries, SettingsErrors &Errors) {
  for (const auto &[Name, Entry] : sectionOf(Merged, Section)) {
    FieldMap Map = openEntry(Entry, std::string(Section) + "." + Name, Errors);
    Settings Read;
    readEntry(Map, Name, Read);
    closeMap(Map);
    Entries[decltype(Read.Name)(Name)] = std::move(Read);
  }
}

// Checker finds the place of a value that is well-formed but can't hold.
struct Checker {
  const Document &Merged;
  SettingsErrors &Errors;

  void note(std::string_view Section, const std::string &Name,
            const std::string &Key, const std::string &Text) const {
    const DocumentSection &Entries = sectionOf(this->Merged, Section);
    std::string Path = std::string(Section) + "." + Name;
    auto Entry = Entries.find(Name);
    if (Entry == Entries.end())
      return noteError(this->Errors, Place{}, Path + "." + Key + Text);
    noteField(openEntry(Entry->second, Path, this->Errors), Key, Text);
  }
};

template <typename Map> std::vector<std::string> namesOf(const Map &Entries) {
  std::vector<std::string> Names;
  for (const auto &[Name, Settings] : Entries)
    Names.push_back(Name.Value);
  return Names;
}

template <typename Map, typename Name>
void checkReference(const Checker &Check, const std::string &Section,
                    const std::string &Entry, const std::string &Key,
                    const Name &Wanted, const Map &Entries) {
  if (Wanted.empty() || Entries.contains(Wanted))
    return;
  std::string Nearest = findNearestName(Wanted.Value, namesOf(Entries));
  Check.note(Section, Entry, Key,
             ": there is no " + Key + " " + Wanted.Value +
                 (Nearest.empty() ? "" : "; did you mean " + Nearest + "?"));
}

void checkRanks(const Checker &Check, const Configuration &Config) {
  double Sum = 0;
  std::map<std::uint32_t, std::string> ByOrder;
  for (const auto &[Name, Rank] : Config.Ranks) {
    Sum += Rank.Share.Value;
    auto [Same, IsNew] = ByOrder.emplace(Rank.Order, Name.Value);
    if (!IsNew)
      Check.note("ranks", Name.Value, "order",
                 " is the same as of rank " + Same->second);
  }
  if (Sum > 100)
    for (const auto &[Name, Rank] : Config.Ranks)
      Check.note("ranks", Name.Value, "share",
                 ": the shares of all ranks add up to more than 100%");
}

void checkKinds(const Checker &Check, const Configuration &Config) {
  for (const auto &[Name, Kind] : Config.Kinds) {
    checkReference(Check, "kinds", Name.Value, "service", Kind.Service,
                   Config.Services);
    checkReference(Check, "kinds", Name.Value, "rank", Kind.Rank, Config.Ranks);
    auto Rank = Config.Ranks.find(Kind.Rank);
    if (Rank != Config.Ranks.end() && Kind.Deadline == base::Duration{} &&
        Rank->second.Deadline == base::Duration{})
      Check.note("kinds", Name.Value, "deadline",
                 " is missing, and rank " + Kind.Rank.Value + " has none");
  }
}

void checkRoutes(const Checker &Check, const Configuration &Config) {
  using Key = std::tuple<std::string_view, std::string_view, std::string_view>;
  std::map<Key, std::string_view> Seen;
  for (const auto &[Name, Route] : Config.Routes) {
    checkReference(Check, "routes", Name, "kind", Route.Kind, Config.Kinds);
    for (const ServiceShare &Part : Route.Split)
      checkReference(Check, "routes", Name, "service", Part.Service,
                     Config.Services);
    auto [Same, IsNew] =
        Seen.emplace(Key(Route.Host, Route.Method, Route.Prefix), Name);
    if (!IsNew)
      Check.note("routes", Name, "prefix",
                 ": route " + std::string(Same->second) +
                     " has the same method and prefix" +
                     (Route.Host.empty() ? "" : " of this host"));
  }
}

// Kinds inherit what they leave out from their rank.
void inheritFromRanks(const Document &Merged, Configuration &Config) {
  const DocumentSection &Kinds = sectionOf(Merged, "kinds");
  for (auto &[Name, Kind] : Config.Kinds) {
    auto Rank = Config.Ranks.find(Kind.Rank);
    auto Entry = Kinds.find(Name.Value);
    if (Rank == Config.Ranks.end() || Entry == Kinds.end())
      continue;
    if (!Entry->second.Fields.contains("deadline"))
      Kind.Deadline = Rank->second.Deadline;
    if (!Entry->second.Fields.contains("worth"))
      Kind.Worth = Rank->second.Worth;
  }
}

} // namespace

void buildConfiguration(const Document &Merged, Configuration &Config,
                        SettingsErrors &Errors) {
  for (const auto &[Name, Entry] : sectionOf(Merged, FleetSection)) {
    FieldMap Map = openEntry(Entry, std::string(FleetSection), Errors);
    readFleet(Map, Config);
    closeMap(Map);
  }
  readSection<RankSettings>(Merged, "ranks", Config.Ranks, Errors);
  readSection<ServiceSettings>(Merged, "services", Config.Services, Errors);
  readSection<KindSettings>(Merged, "kinds", Config.Kinds, Errors);
  readSection<RouteSettings>(Merged, "routes", Config.Routes, Errors);
  readSection<WorkspaceSettings>(Merged, "workspaces", Config.Workspaces,
                                 Errors);
  inheritFromRanks(Merged, Config);
}

void checkConfiguration(const Document &Merged, const Configuration &Config,
                        SettingsErrors &Errors) {
  Checker Check{Merged, Errors};
  checkRanks(Check, Config);
  checkKinds(Check, Config);
  checkRoutes(Check, Config);
}

} // namespace currantgauge::config
