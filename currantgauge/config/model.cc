#include "currantgauge/config/model.h"

namespace currantgauge::config {
namespace {

// Ranks routes of the same prefix: one with a host precedes one with only a
// method.
int getSpecificity(const RouteSettings &Route) {
  return (Route.Host.empty() ? 0 : 2) + (Route.Method.empty() ? 0 : 1);
}

const RouteSettings *
pickBest(const std::vector<const RouteSettings *> &Candidates,
         const RouteQuery &Query) {
  const RouteSettings *Best = nullptr;
  for (const RouteSettings *Route : Candidates) {
    bool Matches = (Route->Host.empty() || Route->Host == Query.Host) &&
                   (Route->Method.empty() || Route->Method == Query.Method);
    if (Matches && (!Best || getSpecificity(*Route) > getSpecificity(*Best)))
      Best = Route;
  }
  return Best;
}

const RouteSettings *findByPrefix(const Configuration &Config,
                                  std::string_view Prefix,
                                  const RouteQuery &Query) {
  auto It = Config.RoutesByPrefix.find(Prefix);
  return It == Config.RoutesByPrefix.end() ? nullptr
                                           : pickBest(It->second, Query);
}

// A prefix matches whole path segments, so only the whole path and its parts up
// to each slash, with and without it, are looked up. The cost grows with the
// depth of the path, not with the number of routes.
const RouteSettings *findLongestMatch(const Configuration &Config,
                                      const RouteQuery &Query) {
  std::string_view Prefix = Query.Path.substr(0, Query.Path.find('?'));
  while (!Prefix.empty()) {
    if (const RouteSettings *Route = findByPrefix(Config, Prefix, Query))
      return Route;
    if (Prefix.back() == '/') {
      Prefix.remove_suffix(1);
      continue;
    }
    std::size_t Slash = Prefix.rfind('/');
    if (Slash == std::string_view::npos)
      break;
    Prefix = Prefix.substr(0, Slash + 1);
  }
  return nullptr;
}

} // namespace

void indexRoutes(Configuration &Config) {
  Config.RoutesByPrefix.clear();
  for (const auto &[Name, Route] : Config.Routes)
    Config.RoutesByPrefix[Route.Prefix].push_back(&Route);
}

RouteMatch matchRoute(const Configuration &Config, const RouteQuery &Query) {
  const RouteSettings *Route = findLongestMatch(Config, Query);
  if (!Route)
    return {};
  auto Kind = Config.Kinds.find(Route->Kind);
  if (Kind == Config.Kinds.end())
    return {};
  return {Route, &Kind->second};
}

const KindSettings *findKind(const Configuration &Config,
                             std::string_view Method, std::string_view Path) {
  return matchRoute(Config, {{}, Method, Path}).Kind;
}

KindSettings getRequestSettings(const RouteMatch &Match, double Draw) {
  KindSettings Settings = *Match.Kind;
  const RouteSettings &Route = *Match.Route;
  if (Route.Deadline > base::Duration{})
    Settings.Deadline = Route.Deadline;
  if (Route.Attempts > 0)
    Settings.Attempts = Route.Attempts;
  double Sum = 0;
  for (const ServiceShare &Part : Route.Split)
    Sum += Part.Weight;
  double Remaining = Draw * Sum;
  for (const ServiceShare &Part : Route.Split) {
    if (Part.Weight == 0)
      continue;
    Settings.Service = Part.Service;
    Remaining -= Part.Weight;
    if (Remaining < 0)
      break;
  }
  return Settings;
}

} // namespace currantgauge::config
