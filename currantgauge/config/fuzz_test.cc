#include "currantgauge/base/random.h"
#include "currantgauge/config/assemble.h"
#include "currantgauge/config/document.h"
#include "currantgauge/config/head_row.h"
#include "currantgauge/config/node_settings.h"
#include "currantgauge/config/stored_manifest.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace currantgauge::config {
namespace {

constexpr int Rounds = 1500; // of mutated input per case

const std::string ValidDocument =
    "fleet:\n  unlisted_workspaces: refuse\n"
    "ranks:\n  normal: {order: 0, share: \"50%\", deadline: 2s}\n"
    "services:\n  cutlist: {floor: \"60%\", hold_off: 5s}\n"
    "kinds:\n  read: {service: cutlist, rank: normal, idempotent: true}\n"
    "routes:\n  lists: {method: GET, prefix: /lists, kind: read}\n"
    "workspaces:\n  depot: {limit: 20/s, burst: 40, weight: 2}\n";

const std::string ValidSettings =
    "name: a\nregion: north\nfailure_domain: north-a\n"
    "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2}\n"
    "seeds: [127.0.0.1:3]\nlimits: {body: 64KiB, caller_read: 250ms}\n";

// Fragments with a meaning in YAML are more likely to break a parser than
// random bytes.
const std::vector<std::string> Fragments = {
    "{",     "}",      "[",     "]",   ": ",
    "\n",    "  ",     "- ",    "&a",  "*a",
    "|",     "\"",     "'",     "#",   "~",
    "null",  "<<: *a", "!!str", "%",   "\xff",
    "?",     "\t",     "1e",    "-1s", "999999999999999999999s",
    "\x00x", "\r\n"};

// Applies one to six random changes to a text: erases, inserts, replaces or
// repeats a piece of it.
std::string mutate(std::string Text, base::Random &Source) {
  std::size_t Changes = 1 + base::uniformBelow(Source, 6);
  for (std::size_t Change = 0; Change < Changes && !Text.empty(); ++Change) {
    std::size_t At = base::uniformBelow(Source, Text.size());
    std::size_t Length = base::uniformBelow(Source, 12);
    switch (base::uniformBelow(Source, 4)) {
    case 0:
      Text.erase(At, Length);
      break;
    case 1:
      Text.insert(At, Fragments[base::uniformBelow(Source, Fragments.size())]);
      break;
    case 2:
      Text[At] = static_cast<char>(base::uniformBelow(Source, 256));
      break;
    default:
      Text.insert(
          At, Text.substr(base::uniformBelow(Source, Text.size()), Length * 4));
    }
  }
  return Text;
}

// Every error must have a location and a text.
void checkErrors(const SettingsErrors &Errors) {
  for (const SettingsError &Error : Errors) {
    CHECK_FALSE(Error.Text.empty());
    CHECK(Error.Line >= 1);
    CHECK(Error.Column >= 1);
  }
}

const std::string DocumentWithKeys =
    "fleet:\n  callers: by_key\n"
    "ranks:\n  normal: {order: 0, share: \"50%\", deadline: 2s}\n"
    "services:\n  cutlist: {floor: \"60%\", hold_off: 5s}\n"
    "kinds:\n  read: {service: cutlist, rank: normal, idempotent: true}\n"
    "routes:\n  lists: {prefix: /lists, kind: read, public: true}\n"
    "workspaces:\n  depot: {keys: [secret-1, \"secret 2\"], rank: normal, "
    "fleet_limit: 20/s, fleet_burst: 40}\n"
    "  yard: {keys: \"secret-3, sha256:ca978112ca1bbdcafac231b39a23dc4d\"}\n";

} // namespace

TEST_CASE("fuzzing: a document yields either errors or a configuration") {
  base::Random Source(20);
  int Rejected = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    CAPTURE(Round);
    SettingsErrors Errors;
    std::string Text = mutate(ValidDocument, Source);
    ConfigurationPtr Config = parseDocument(Text, "fuzz.yaml", Errors);
    CHECK((Config == nullptr) == !Errors.empty());
    checkErrors(Errors);
    Rejected += Config ? 0 : 1;
  }
  CHECK(Rejected > Rounds / 2);
}

TEST_CASE("fuzzing: merged documents are in canonical form") {
  base::Random Source(21);
  for (int Round = 0; Round < Rounds; ++Round) {
    CAPTURE(Round);
    SettingsErrors Errors;
    std::string Merged = mergeFiles(
        {{"a.yaml", ValidDocument}, {"b.yaml", mutate(ValidDocument, Source)}},
        Errors);
    SettingsErrors Again;
    CHECK(mergeFiles({{"c.yaml", Merged}}, Again) == Merged);
    CHECK(Again.empty());
    PartSetPtr Parts = splitDocument(Merged);
    REQUIRE(Parts);
    CHECK(joinParts(*Parts) == Merged);
  }
}

TEST_CASE("fuzzing: a pushed document is accepted only without errors") {
  base::Random Source(22);
  for (int Round = 0; Round < Rounds; ++Round) {
    CAPTURE(Round);
    AssembledConfig Result = assembleConfig(
        AssembleRequest{mutate(ValidDocument, Source), {}, {}, {}});
    CHECK((Result.Config == nullptr) == !Result.Error.empty());
  }
}

TEST_CASE("fuzzing: a document with keys yields either errors or a "
          "configuration, and its parts hold only hashes") {
  base::Random Source(25);
  for (int Round = 0; Round < Rounds; ++Round) {
    CAPTURE(Round);
    std::string Text = mutate(DocumentWithKeys, Source);
    SettingsErrors Errors;
    ConfigurationPtr Config = parseDocument(Text, "fuzz.yaml", Errors);
    CHECK((Config == nullptr) == !Errors.empty());
    checkErrors(Errors);
    AssembledConfig Result = assembleConfig(AssembleRequest{Text, {}, {}, {}});
    CHECK((Result.Config == nullptr) == !Result.Error.empty());
    if (!Result.Config)
      continue;
    PartSetPtr Parts = splitDocument(joinParts(*Result.Parts));
    REQUIRE(Parts);
    for (const auto &[Name, Part] : Parts->Parts)
      if (Name.starts_with("workspaces/") &&
          Part->Text.find(" keys: ") != std::string::npos)
        CHECK(Part->Text.find("secret") == std::string::npos);
  }
}

TEST_CASE("fuzzing: errors in a settings file have locations") {
  base::Random Source(23);
  for (int Round = 0; Round < Rounds; ++Round) {
    CAPTURE(Round);
    SettingsErrors Errors;
    parseNodeSettings(mutate(ValidSettings, Source), "node.yaml", Errors);
    checkErrors(Errors);
  }
}

TEST_CASE("fuzzing: head rows and manifests are parsed without crashing") {
  base::Random Source(24);
  HeadRow Row{base::ConfigVersion(7),
              base::PushId("p"),
              "ana",
              {5},
              base::ContentHash("00"),
              "",
              base::ContentHash("11")};
  PartSetPtr Parts = splitDocument(ValidDocument);
  REQUIRE(Parts);
  StoredManifest Stored =
      makeStoredManifest({}, *Parts, getOriginName(Row.Version, Row.Push));
  std::string Manifest = formatStoredManifest(Stored);
  for (int Round = 0; Round < Rounds; ++Round) {
    parseHeadRow({"head", mutate(formatHeadRow(Row), Source), ""});
    parseStoredManifest(mutate(Manifest, Source));
  }
  CHECK(parseHeadRow({"head", formatHeadRow(Row), ""})->Push == Row.Push);
  std::optional<StoredManifest> Read = parseStoredManifest(Manifest);
  REQUIRE(Read);
  CHECK(formatStoredManifest(*Read) == Manifest);
  CHECK(Read->size() == Parts->Parts.size());
}

TEST_CASE("deep nesting is rejected before it exhausts the stack") {
  SettingsErrors Errors;
  parseDocument(std::string(100000, '['), "deep.yaml", Errors);
  CHECK(Errors.size() == 1);
  std::string Staircase;
  for (std::size_t Depth = 0; Depth < 2000; ++Depth)
    Staircase += std::string(Depth, ' ') + "a:\n";
  parseDocument(Staircase, "stairs.yaml", Errors);
  CHECK(Errors.size() == 2);
}

} // namespace currantgauge::config
