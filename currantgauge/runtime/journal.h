// The journal: the events that a node took, each with a digest of its effects,
// as JSON lines. Replaying it through reduce() must give the same digests.
//
//   Journal Log;
//   openJournal(Log, "node.journal", Identity, Seed, Error);
//   writeEvent(Log, Event, Effects);
#ifndef CURRANTGAUGE_RUNTIME_JOURNAL_H
#define CURRANTGAUGE_RUNTIME_JOURNAL_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

#include <cstdint>
#include <fstream>
#include <iosfwd>
#include <string>
#include <system_error>

namespace currantgauge::runtime {

// Journal is an open file; a closed one takes no lines.
struct Journal {
  std::ofstream Out;
};

// openJournal() starts a file; Error when it can't be written.
void openJournal(Journal &Log, const std::string &Path,
                 const core::NodeIdentity &Self, std::uint64_t Seed,
                 std::error_code &Error);

// writeEvent() appends an event and the digest of its effects.
void writeEvent(Journal &Log, const core::Event &Happened,
                const core::EffectList &Effects);

// ReplayResult says how a replay went. Error is empty when the file was whole.
struct ReplayResult {
  std::uint64_t Events = 0;
  std::uint64_t Different = 0;
  std::uint64_t FirstDifferent = 0; // line, from 1; 0: none
  std::string Error;
};

// replay() runs a journal through a fresh state.
ReplayResult replay(std::istream &In);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_JOURNAL_H
