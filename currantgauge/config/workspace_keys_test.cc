#include "currantgauge/config/workspace_keys.h"

#include "currantgauge/base/random.h"
#include "currantgauge/config/assemble.h"
#include "currantgauge/config/document.h"
#include "currantgauge/identity/key_hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>

namespace currantgauge::config {
namespace {

const std::string Ranks = "ranks:\n  normal: {order: 0, deadline: 2s}\n";

std::string listErrors(const std::string &Text) {
  SettingsErrors Errors;
  parseDocument(Ranks + Text, "f.yaml", Errors);
  std::string List;
  for (const SettingsError &Error : Errors)
    List += formatError(Error) + "\n";
  return List;
}

bool mentions(const std::string &List, const std::string &Text) {
  return List.find(Text) != std::string::npos;
}

// Returns the workspace that holds a key, empty if none does.
std::string holderOf(const ConfigurationPtr &Config, const std::string &Key) {
  const auto *Holder =
      identity::findByKey(Config->Keys, identity::hashKey(Key));
  return Holder ? Holder->Value : "";
}

AssembledConfig assembleNext(const AssembledConfig &Base,
                             const std::string &Text) {
  AssembleRequest Request;
  Request.Text = Text;
  Request.BaseParts = Base.Parts;
  Request.BaseConfig = Base.Config;
  return assembleConfig(Request);
}

} // namespace

TEST_CASE("keys are read from a list, a text or hashes") {
  SettingsErrors Errors;
  ConfigurationPtr Config = parseDocument(
      Ranks +
          "workspaces:\n  w1: {keys: [a, \"b, c\"]}\n"
          "  w2:\n    keys:\n      - d\n  w3: {keys: \"e, f\"}\n"
          "  w4: {keys: \"sha256:" +
          identity::formatKeyHash(identity::hashKey("g")).substr(7) +
          "\", rank: normal, fleet_limit: 20/s, fleet_burst: 7.5}\n"
          "  w5: {keys: []}\n",
      "f.yaml", Errors);
  REQUIRE(Errors.empty());
  CHECK(holderOf(Config, "a") == "w1");
  CHECK(holderOf(Config, "b, c") == "w1");
  CHECK(holderOf(Config, "d") == "w2");
  CHECK(holderOf(Config, "e") == "w3");
  CHECK(holderOf(Config, "f") == "w3");
  CHECK(holderOf(Config, "g") == "w4");
  CHECK(holderOf(Config, "b") == "");
  const WorkspaceSettings &W4 =
      Config->Workspaces.find(base::WorkspaceName("w4"))->second;
  CHECK(W4.Rank.Value == "normal");
  CHECK(W4.FleetLimit == base::PerSecond{20});
  CHECK(W4.FleetBurst == 7.5);
  CHECK_FALSE(Config->RequiresKeys);
}

TEST_CASE("a merged document, its parts and its origins hold only hashes") {
  SettingsErrors Errors;
  Document Merged = mergeDocument(
      {{"a.yaml",
        Ranks + "workspaces:\n  w1: {keys: [topsecret1, topsecret2]}\n"},
       {"b.yaml", "workspaces:\n  w2: {keys: \"topsecret3\", weight: 2}\n"}},
      Errors);
  REQUIRE(Errors.empty());
  std::string Text = formatDocument(Merged);
  CHECK_FALSE(mentions(Text, "topsecret"));
  CHECK_FALSE(mentions(formatOrigins(Merged), "topsecret"));
  CHECK(mergeFiles({{"c.yaml", Text}}, Errors) == Text);
  PartSetPtr Parts = splitDocument(Text);
  REQUIRE(Parts);
  CHECK(joinParts(*Parts) == Text);
}

// Clients other than the project's own may push a document as they wrote it.
TEST_CASE("plain keys in a pushed document are hashed before it is stored") {
  for (const char *Entry :
       {"{keys: topsecret}", "{keys: [topsecret]}", "{keys: \"topsecret\"}",
        "{\"keys\": topsecret}", "{'keys': topsecret}", "{ keys: topsecret }",
        "{weight: 2,keys: topsecret}", "{weight: \"2\", keys : topsecret}",
        "{? keys : topsecret}", "{!!str keys: topsecret}",
        "{keys: 'topsecret'}", R"({"ke\x79s": [topsecret]})",
        R"({"\x6beys": "topsecret"})",
        R"({weight: 2, "ke\u0079s": topsecret})"}) {
    CAPTURE(Entry);
    AssembleRequest Request;
    Request.Text = Ranks + "workspaces:\n  w1: " + std::string(Entry) + "\n";
    AssembledConfig Result = assembleConfig(Request);
    REQUIRE(Result.Error == "");
    CHECK(holderOf(Result.Config, "topsecret") == "w1");
    CHECK_FALSE(mentions(joinParts(*Result.Parts), "topsecret"));
  }
}

TEST_CASE("errors in workspaces name the place and never show a key") {
  const std::string Start = "workspaces:\n  w1: ";
  CHECK(mentions(listErrors(Start + "{keys: [a]}\n  w2: {keys: [b, a]}\n"),
                 "f.yaml:5:14: workspaces.w2.keys: key sha256:ca978112 belongs "
                 "to workspace w1 as well"));
  CHECK(mentions(listErrors(Start + "{keys: [topsecret, \"\"]}\n"),
                 "f.yaml:4:26: workspaces.w1.keys: a key must be a single "
                 "value that is not empty"));
  CHECK(mentions(listErrors(Start + "{keys: [[a]]}\n"), "must be a single"));
  CHECK(mentions(listErrors(Start + "{keys: \"a,, b\"}\n"), "not empty"));
  CHECK(mentions(listErrors(Start + "{keys: {a: b}}\n"), "f.yaml:4:14: "));
  CHECK(mentions(listErrors(Start + "{keys: [\"sha256:12\"]}\n"),
                 "f.yaml:4:15: workspaces.w1.keys: a hash must be sha256: and "
                 "32 hex digits"));
  CHECK(mentions(listErrors(Start + "{rank: nrmal}\n"),
                 "f.yaml:4:8: workspaces.w1.rank: there is no rank nrmal; did "
                 "you mean normal?"));
  CHECK(mentions(listErrors(Start + "{fleet_burst: 4}\n"),
                 "f.yaml:4:8: workspaces.w1.fleet_burst requires that "
                 "fleet_limit is set, too"));
  CHECK(mentions(listErrors(Start + "{fleet_limit: 9/s, fleet_burst: 0.5}\n"),
                 "f.yaml:4:26: workspaces.w1.fleet_burst must be at least 1"));
  CHECK(mentions(listErrors(Start + "{fleet_limit: -9/s}\n"),
                 "f.yaml:4:8: workspaces.w1.fleet_limit: \"-9/s\" is not"));
  CHECK(mentions(listErrors("fleet: {callers: by_ip}\n"),
                 "fleet.callers: \"by_ip\" is neither by_name nor by_key"));
  CHECK(mentions(
      listErrors("fleet: {callers: by_key, unlisted_workspaces: refuse}\n"),
      "fleet.unlisted_workspaces: refuse has no use with callers: by_key"));
  CHECK_FALSE(
      mentions(listErrors(Start + "{keys: [topsecret, \"\"]}\n"), "topsecret"));
}

TEST_CASE("a later file replaces or removes a workspace's keys") {
  SettingsErrors Errors;
  ConfigurationPtr Config = checkDocument(
      mergeDocument({{"a.yaml", Ranks + "workspaces:\n  w1: {keys: [a]}\n"
                                        "  w2: {keys: [b]}\n  w3: {keys: [c]}"},
                     {"b.yaml", "workspaces:\n  w1: {keys: [b]}\n"
                                "  w2: {keys: []}\n  w3: {keys: null}\n"}},
                    Errors),
      Errors);
  REQUIRE(Errors.empty());
  REQUIRE(Config);
  CHECK(holderOf(Config, "a") == "");
  CHECK(holderOf(Config, "b") == "w1");
  CHECK(holderOf(Config, "c") == "");
}

TEST_CASE("a key may move to another workspace in one version") {
  const std::string Fleet = "fleet:\n  callers: by_key\n" + Ranks;
  AssembledConfig First = assembleNext(
      {}, Fleet + "workspaces:\n  w1: {keys: a}\n  w2: {keys: b}\n");
  REQUIRE(First.Error == "");
  CHECK(First.Config->RequiresKeys);
  for (const char *Next : {"  w1: {keys: b}\n  w2: {keys: a}\n",
                           "  w1: {weight: 2}\n  w2: {keys: \"a, b\"}\n",
                           "  w3: {keys: \"a, b\"}\n"}) {
    AssembledConfig Second =
        assembleNext(First, Fleet + "workspaces:\n" + Next);
    REQUIRE(Second.Error == "");
    CHECK(holderOf(Second.Config, "a") != "w1");
    CHECK(holderOf(Second.Config, "b") != "");
  }
  CHECK(holderOf(First.Config, "a") == "w1");
}

TEST_CASE("a version without workspaces still requires keys") {
  const std::string Fleet = "fleet:\n  callers: by_key\n" + Ranks;
  AssembledConfig First =
      assembleNext({}, Fleet + "workspaces:\n  w1: {keys: a}\n");
  REQUIRE(First.Error == "");
  AssembledConfig Second = assembleNext(First, Fleet);
  REQUIRE(Second.Error == "");
  CHECK(Second.Config->RequiresKeys);
  CHECK(identity::countKeys(Second.Config->Keys) == 0);
  AssembledConfig Third = assembleNext(Second, Ranks);
  REQUIRE(Third.Error == "");
  CHECK_FALSE(Third.Config->RequiresKeys);
}

TEST_CASE("a version that changes only workspaces is checked for ranks and "
          "keys of others") {
  AssembledConfig First =
      assembleNext({}, Ranks + "workspaces:\n  w1: {keys: a}\n");
  REQUIRE(First.Error == "");
  CHECK(mentions(assembleNext(First, Ranks + "workspaces:\n  w1: {keys: a}\n"
                                             "  w2: {rank: urgent}\n")
                     .Error,
                 "there is no rank urgent"));
  CHECK(mentions(assembleNext(First, Ranks + "workspaces:\n  w1: {keys: a}\n"
                                             "  w2: {keys: a}\n")
                     .Error,
                 "belongs to workspace w1 as well"));
  AssembledConfig Ranked =
      assembleNext({}, Ranks + "workspaces:\n  w1: {rank: normal}\n");
  REQUIRE(Ranked.Error == "");
  CHECK(mentions(assembleNext(Ranked, "ranks:\n  other: {order: 0}\n"
                                      "workspaces:\n  w1: {rank: normal}\n")
                     .Error,
                 "there is no rank normal"));
}

// Random versions, each assembled from the one before, against one built from
// nothing.
TEST_CASE("the keys of an assembled version are those of its document") {
  base::Random Source(31);
  AssembledConfig Current;
  for (int Version = 0; Version < 200; ++Version) {
    CAPTURE(Version);
    std::string Text = "fleet:\n  callers: by_key\n" + Ranks + "workspaces:\n";
    std::string Expected[30];
    for (int Key = 0; Key < 30; ++Key)
      if (base::uniformBelow(Source, 4) > 0)
        Expected[Key] = "w" + std::to_string(base::uniformBelow(Source, 8));
    for (int Workspace = 0; Workspace < 8; ++Workspace) {
      std::string Name = "w" + std::to_string(Workspace);
      std::string Keys;
      for (int Key = 0; Key < 30; ++Key)
        if (Expected[Key] == Name)
          Keys += (Keys.empty() ? "k" : ", k") + std::to_string(Key);
      if (!Keys.empty())
        Text += "  " + Name + ": {keys: \"" + Keys + "\"}\n";
    }
    Current = assembleNext(Current, Text);
    REQUIRE(Current.Error == "");
    for (int Key = 0; Key < 30; ++Key)
      CHECK(holderOf(Current.Config, "k" + std::to_string(Key)) ==
            Expected[Key]);
    CHECK(identity::countKeys(Current.Config->Keys) ==
          static_cast<std::size_t>(
              std::count_if(std::begin(Expected), std::end(Expected),
                            [](const auto &Name) { return !Name.empty(); })));
  }
}

} // namespace currantgauge::config
