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

// The digest covers every effect whole, so a replay that differs in one byte of
// one effect is found.
std::uint64_t digest(const core::EffectList &Effects) {
  std::string Text = toJson(Effects).dump();
  return XXH64(Text.data(), Text.size(), 0);
}

// Documents parsed in a replay, by the call that asked for them.
struct ParsedDocuments {
  std::map<base::CallId, config::AssembleRequest> Requests;
};

void noteRequests(ParsedDocuments &Known, const core::EffectList &Effects) {
  for (const core::Effect &Each : Effects)
    if (const auto *Parse = std::get_if<core::ParseConfig>(&Each))
      Known.Requests[Parse->Call] = Parse->Request;
}

void restoreConfig(ParsedDocuments &Known, core::Event &Happened) {
  auto *Parsed = std::get_if<core::ConfigParsed>(&Happened.Body);
  if (!Parsed)
    return;
  auto Request = Known.Requests.extract(Parsed->Call);
  if (Request.empty() || !Parsed->Error.empty())
    return;
  config::AssembledConfig Done = config::assembleConfig(Request.mapped());
  Parsed->Config = std::move(Done.Config);
  Parsed->Parts = std::move(Done.Parts);
}

} // namespace

void openJournal(Journal &Log, const std::string &Path,
                 const core::NodeIdentity &Self, std::uint64_t Seed,
                 std::error_code &Error) {
  Log.Out.open(Path, std::ios::trunc);
  if (!Log.Out) {
    Error = std::make_error_code(std::errc::io_error);
    return;
  }
  Log.Out << Json{{"node", toJson(Self)}, {"seed", Seed}}.dump() << "\n";
}

void writeEvent(Journal &Log, const core::Event &Happened,
                const core::EffectList &Effects) {
  if (!Log.Out.is_open())
    return;
  Json Line = {{"event", toJson(Happened)}, {"effects", digest(Effects)}};
  Log.Out << Line.dump() << "\n" << std::flush;
}

ReplayResult replay(std::istream &In) {
  ReplayResult Result;
  std::string Line;
  std::uint64_t Number = 1;
  try {
    if (!std::getline(In, Line)) {
      Result.Error = "the journal is empty";
      return Result;
    }
    Json Head = Json::parse(Line);
    core::NodeIdentity Self;
    fromJson(Head.at("node"), Self);
    core::State Node =
        core::makeState(Self, Head.at("seed").get<std::uint64_t>());
    ParsedDocuments Known;
    while (std::getline(In, Line)) {
      ++Number;
      Json Entry = Json::parse(Line);
      core::Event Happened;
      fromJson(Entry.at("event"), Happened);
      restoreConfig(Known, Happened);
      core::EffectList Effects;
      core::reduce(Node, Happened, Effects);
      noteRequests(Known, Effects);
      ++Result.Events;
      if (digest(Effects) == Entry.at("effects").get<std::uint64_t>())
        continue;
      if (Result.Different++ == 0)
        Result.FirstDifferent = Number;
    }
  } catch (const Json::exception &Bad) {
    Result.Error =
        "line " + std::to_string(Number) + " can't be read: " + Bad.what();
  }
  return Result;
}

} // namespace currantgauge::runtime
