#include "review/lab/config_change.h"

namespace currantgauge::review {
namespace {

using nlohmann::json;

constexpr Millis Interval{250};

bool isServedBy(const Answer &Got, const std::string &Service) {
  return Got.Status == 200 && Got.Body.starts_with(Service + " ");
}

// Says what only an older version than the last one allows, empty if nothing.
std::string findStale(const std::string &Path, const Answer &Got) {
  if (Path.starts_with("/lists/") && isServedBy(Got, "cutlist"))
    return "run by the old service";
  if (Path.starts_with("/dropped/") && Got.Status == 200)
    return "run with a dropped route";
  if (Path.starts_with("/added/") && Got.Status == 404)
    return "refused with 404 though the route is there";
  return "";
}

} // namespace

json makeConfig(ConfigStep Step) {
  bool IsLast = Step == ConfigStep::Last;
  json Routes{{"lists", makeRoute("/lists/", IsLast ? "stocktally" : "cutlist",
                                  "idempotent")}};
  if (IsLast)
    Routes["added"] = makeRoute("/added/", "cutlist", "idempotent");
  else
    Routes["dropped"] = makeRoute("/dropped/", "cutlist", "idempotent");
  if (Step != ConfigStep::First)
    Routes["second"] = makeRoute("/second/", "cutlist", "idempotent");
  return makeDocument("r" + std::to_string(10 + static_cast<int>(Step)), Routes,
                      {"cutlist", "stocktally"});
}

void startConfigFleet(Lab &Bench, Fleet &All) {
  startFleet(Bench, All,
             {{"cutlist", "north-a"},
              {"stocktally", "north-b"},
              {"cutlist", "north-b"}},
             Millis(1500));
  writeConfig(All.Platform, makeConfig(ConfigStep::First));
  bool Serves = allReady(All) &&
                waitUntil([&] { return allServe(All, "/lists/1", "cutlist"); },
                          Millis(10000));
  if (!Serves)
    closeLab(Bench, CouldNotRun);
  sleepUntil(Clock::now() + StabilityWindow);
}

bool allServe(const Fleet &All, const std::string &Path,
              const std::string &Service) {
  for (const Node &Process : All.Nodes)
    if (!isServedBy(sendRequest(Process, {"GET", Path, "", 2000}), Service))
      return false;
  return true;
}

int countStale(Lab &Bench, const Fleet &All, Clock::time_point Acknowledged,
               Millis Watched) {
  int Count = 0;
  auto Next = Acknowledged + Interval;
  while (Next < Acknowledged + Watched) {
    sleepUntil(Next);
    Next += Interval;
    for (const Node &Process : All.Nodes)
      for (const char *Path : {"/lists/7", "/dropped/7", "/added/7"}) {
        Answer Got = sendRequest(Process, {"GET", Path, "", 2000});
        std::string Stale = findStale(Path, Got);
        bool Late =
            !Stale.empty() && Got.SentAt > Acknowledged + ConfigPropagation;
        Count += Late ? 1 : 0;
        note(Bench, Process.Name + " GET " + Path + " " + Got.Attempt + " -> " +
                        std::to_string(Got.Status) + " " +
                        Got.Body.substr(0, 60) + " " + Stale +
                        (Late ? ", LATE" : ""));
      }
  }
  note(Bench, std::to_string(Count) +
                  " requests sent over 2 s after the acknowledgement were "
                  "handled as only an older version allows");
  return Count;
}

} // namespace currantgauge::review
