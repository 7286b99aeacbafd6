// The journal: a file of JSON lines. The first holds the node's identity and
// random seed, each other one an event that the node reduced and a digest
// (hash) of its effects. Replaying the events through reduce() must produce the
// same digests.
//
//   Journal File;
//   openJournal(File, "node.journal", Identity, Seed, Error);
//   writeEvent(File, Event, Effects);
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

// Journal is the file of a journal. If it isn't open, nothing is written.
struct Journal {
  std::ofstream Out;
};

// openJournal() creates or truncates the file and writes its header line. Sets
// Error if the file can't be opened.
void openJournal(Journal &File, const std::string &Path,
                 const core::NodeIdentity &Self, std::uint64_t Seed,
                 std::error_code &Error);

// writeEvent() appends an event and the digest of its effects.
void writeEvent(Journal &File, const core::Event &Event,
                const core::EffectList &Effects);

// ReplayResult is the result of a replay. Error is empty if the journal has a
// header and every line could be parsed.
struct ReplayResult {
  std::uint64_t Events = 0;
  std::uint64_t Mismatches = 0;        // events whose digest differs
  std::uint64_t FirstMismatchLine = 0; // counts from 1; 0: none
  std::string Error;
};

// replay() reduces the events of a journal, starting from a new state, up to
// the first line that can't be parsed.
ReplayResult replay(std::istream &In);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_JOURNAL_H
