#include "currantgauge/config/model.h"

namespace currantgauge::config {
namespace {

const RouteSettings *matchMethod(const std::vector<const RouteSettings *> &Same,
                                 std::string_view Method) {
  const RouteSettings *Any = nullptr;
  for (const RouteSettings *Route : Same) {
    if (Route->Method == Method)
      return Route;
    if (Route->Method.empty())
      Any = Route;
  }
  return Any;
}

} // namespace

void indexRoutes(Configuration &Config) {
  Config.ByPrefix.clear();
  for (const auto &[Name, Route] : Config.Routes)
    Config.ByPrefix[Route.Prefix].push_back(&Route);
}

// Prefixes end at a slash or at the end of the path, so the walk cuts the path
// at its slashes: a lookup costs its depth and not the number of routes.
const KindSettings *findRoute(const Configuration &Config,
                              std::string_view Method, std::string_view Path) {
  std::string_view Prefix = Path.substr(0, Path.find('?'));
  while (true) {
    auto Found = Config.ByPrefix.find(Prefix);
    if (Found != Config.ByPrefix.end()) {
      if (const RouteSettings *Route = matchMethod(Found->second, Method)) {
        auto Kind = Config.Kinds.find(Route->Kind);
        return Kind == Config.Kinds.end() ? nullptr : &Kind->second;
      }
    }
    if (Prefix.empty() || Prefix == "/")
      return nullptr;
    std::size_t Slash = Prefix.rfind('/');
    Prefix = Slash == 0 || Slash == std::string_view::npos
                 ? std::string_view("/")
                 : Prefix.substr(0, Slash);
  }
}

} // namespace currantgauge::config
