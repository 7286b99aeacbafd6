// The replay command.
//
//   return replayJournal("node.journal");
#ifndef CURRANTGAUGE_RUNTIME_REPLAY_H
#define CURRANTGAUGE_RUNTIME_REPLAY_H

#include <string>

namespace currantgauge::runtime {

// replayJournal() replays a file, prints the result and returns the exit code:
// 0 when every event gave the same effects, else 1.
int replayJournal(const std::string &Path);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_REPLAY_H
