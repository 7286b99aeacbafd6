#include "currantgauge/runtime/journal.h"

#include "currantgauge/config/assemble.h"
#include "currantgauge/core/reduce.h"
#include "currantgauge/runtime/journal_codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <istream>
#include <map>
#include <variant>

namespace currantgauge::runtime {
namespace {

// The digest covers all fields of all effects, so that a replay detects any
// difference.
std::uint64_t computeDigest(const core::EffectList &Effects) {
  std::string Text = toJson(Effects).dump();
  return XXH64(Text.data(), Text.size(), 0);
}

// PendingParseRequests holds the ParseConfig effects of a replay whose
// ConfigParsed event has not been read yet. The journal doesn't contain parsed
// configurations, so the replay parses them again.
struct PendingParseRequests {
  std::map<base::CallId, config::AssembleRequest> Requests;
};

void recordParses(PendingParseRequests &Pending,
                  const core::EffectList &Effects) {
  for (const core::Effect &Effect : Effects)
    if (const auto *Parse = std::get_if<core::ParseConfig>(&Effect))
      Pending.Requests[Parse->Call] = Parse->Request;
}

// A configuration of the store's change feed isn't restored, since only the
// node's adapter can convert its row.
void restoreParsedConfig(PendingParseRequests &Pending, core::Event &Event) {
  auto *Parsed = std::get_if<core::ConfigParsed>(&Event.Body);
  if (!Parsed)
    return;
  auto Request = Pending.Requests.extract(Parsed->Call);
  if (Request.empty() || !Parsed->Error.empty())
    return;
  config::AssembledConfig Assembled = config::assembleConfig(Request.mapped());
  Parsed->Config = std::move(Assembled.Config);
  Parsed->Parts = std::move(Assembled.Parts);
}

} // namespace

void openJournal(Journal &File, const std::string &Path,
                 const core::NodeIdentity &Self, std::uint64_t Seed,
                 std::error_code &Error) {
  File.Out.open(Path, std::ios::trunc);
  if (!File.Out) {
    Error = std::make_error_code(std::errc::io_error);
    return;
  }
  File.Out << Json{{"node", toJson(Self)}, {"seed", Seed}}.dump() << "\n";
}

void writeEvent(Journal &File, const core::Event &Event,
                const core::EffectList &Effects) {
  if (!File.Out.is_open())
    return;
  Json Line = {{"event", toJson(Event)}, {"effects", computeDigest(Effects)}};
  File.Out << Line.dump() << "\n" << std::flush;
}

ReplayResult replay(std::istream &In) {
  ReplayResult Result;
  std::string Line;
  std::uint64_t LineNumber = 1;
  try {
    if (!std::getline(In, Line)) {
      Result.Error = "the journal is empty";
      return Result;
    }
    Json Header = Json::parse(Line);
    core::NodeIdentity Self;
    fromJson(Header.at("node"), Self);
    core::State Node =
        core::makeState(Self, Header.at("seed").get<std::uint64_t>());
    PendingParseRequests Pending;
    while (std::getline(In, Line)) {
      ++LineNumber;
      Json Entry = Json::parse(Line);
      core::Event Event;
      fromJson(Entry.at("event"), Event);
      restoreParsedConfig(Pending, Event);
      core::EffectList Effects;
      core::reduce(Node, Event, Effects);
      recordParses(Pending, Effects);
      ++Result.Events;
      if (computeDigest(Effects) == Entry.at("effects").get<std::uint64_t>())
        continue;
      if (Result.Mismatches++ == 0)
        Result.FirstMismatchLine = LineNumber;
    }
  } catch (const Json::exception &Error) {
    Result.Error = "line " + std::to_string(LineNumber) +
                   " can't be read: " + Error.what();
  }
  return Result;
}

} // namespace currantgauge::runtime
