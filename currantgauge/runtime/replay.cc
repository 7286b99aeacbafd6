#include "currantgauge/runtime/replay.h"

#include "currantgauge/runtime/journal.h"

#include <fstream>
#include <iostream>

namespace currantgauge::runtime {

int replayJournal(const std::string &Path) {
  std::ifstream In(Path);
  if (!In) {
    std::cerr << Path << ": can't be read\n";
    return 1;
  }
  ReplayResult Result = replay(In);
  std::cout << "events: " << Result.Events
            << "\ndifferent effects: " << Result.Mismatches << "\n";
  if (Result.Mismatches != 0)
    std::cout << "first difference: line " << Result.FirstMismatchLine
              << " of the journal\n";
  if (!Result.Error.empty())
    std::cerr << Path << ": " << Result.Error << "\n";
  return Result.Mismatches == 0 && Result.Error.empty() ? 0 : 1;
}

} // namespace currantgauge::runtime
