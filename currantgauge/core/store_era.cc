#include "currantgauge/core/store_era.h"

#include <string>
#include <utility>

namespace currantgauge::core {

bool noteStoreEra(State &Node, const StoreAnswered &Answer,
                  EffectList &Effects) {
  StoreStats &Stats = Node.Store;
  if (Answer.Result.Era <= Stats.Era)
    return false;
  base::StoreEra Previous = std::exchange(Stats.Era, Answer.Result.Era);
  bool IsFirstAnswer = Stats.LastAnswerTime == base::Never;
  if (Previous == base::StoreEra() && IsFirstAnswer)
    return false;
  ++Stats.Restores;
  Effects.push_back(Measure{Metric::StoreRestores, "", "", 1});
  Effects.push_back(LogLine{
      LogLevel::Warn,
      "store_restored",
      {{"previous_era", std::to_string(Previous.Value)},
       {"era", std::to_string(Stats.Era.Value)},
       {"known_revision", std::to_string(Node.Config.Feed.Revision)},
       {"revision", std::to_string(Answer.Result.Revision)},
       {"in_force", std::to_string(Node.Config.Document.Version.Value)}}});
  return true;
}

bool isOfOlderEra(const StoreStats &Stats, const base::StoreResult &Result) {
  return Result.Era != base::StoreEra() && Result.Era < Stats.Era;
}

} // namespace currantgauge::core
