// The replay command, which checks a journal against the current reducer.
//
//   return replayJournal("node.journal");
#ifndef CURRANTGAUGE_RUNTIME_REPLAY_H
#define CURRANTGAUGE_RUNTIME_REPLAY_H

#include <string>

namespace currantgauge::runtime {

// replayJournal() replays a file, prints the result and returns the exit code:
// 0 if the file is valid and every event produced the recorded effects, else 1.
int replayJournal(const std::string &Path);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_REPLAY_H
