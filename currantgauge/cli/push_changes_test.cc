#include "currantgauge/cli/push_changes.h"

#include "currantgauge/config/parts.h"
#include "currantgauge/config/test_fleet.h"
#include "currantgauge/http/operator_codec.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

namespace currantgauge::cli {
namespace {

constexpr std::size_t Workspaces = 20000;
constexpr std::size_t SmallPush = 16 * 1024; // bytes, questions included

std::string documentWith(const std::string &Limit) {
  std::string Text = config::sampleDocument("a", Workspaces);
  std::size_t At = Text.find("w77: {limit: ") + 13;
  return Text.replace(At, 4, Limit);
}

// Client asks a node of a fleet and counts what it sends, as encoded.
struct Client {
  config::TestFleet &Fleet;
  std::size_t Sent = 0;

  core::OperatorReply ask(const core::OperatorCommand &Query) {
    std::string Text = http::encodeCommand(Query);
    this->Sent += Text.size();
    std::string Error;
    auto Call =
        config::sendQuery(this->Fleet, 0, *http::parseCommand(Text, Error));
    config::runFor(this->Fleet, base::seconds(8));
    const core::OperatorReply *Reply = config::findReply(this->Fleet, Call);
    REQUIRE(Reply);
    return http::parseReply(http::encodeReply(*Reply));
  }
  core::OperatorReply push(const std::string &Text, const std::string &Id,
                           std::uint64_t Base = 0) {
    core::ConfigPushCommand Push;
    Push.Push = base::PushId(Id);
    Push.Author = "ana";
    Push.BaseVersion = base::ConfigVersion(Base);
    auto Ask = [this](const core::OperatorCommand &Query) {
      return this->ask(Query);
    };
    REQUIRE(planPush(Text, Ask, Push).empty());
    return this->ask(Push);
  }
};

std::string textOf(const config::TestFleet &Fleet) {
  return config::joinParts(*Fleet.Nodes[0].State.Config.Document.Parts);
}

} // namespace

TEST_CASE("a push of one change carries its part, not the document") {
  for (bool Embedded : {true, false}) {
    config::TestFleet Fleet(1, 3, Embedded);
    Client Asker{Fleet};
    REQUIRE(Asker
                .push(config::joinParts(
                          *config::splitDocument(documentWith("20/s"))),
                      "p1")
                .Error.empty());
    CHECK(Asker.Sent > Workspaces * 20);
    for (const char *Limit : {"21/s", "22/s"}) {
      Asker.Sent = 0;
      std::string Next =
          config::joinParts(*config::splitDocument(documentWith(Limit)));
      CHECK(Asker.push(Next, Limit).Error.empty());
      CHECK(Asker.Sent < SmallPush);
      CHECK(textOf(Fleet) == Next);
    }
  }
}

TEST_CASE("parts that are gone are removed, and nothing changed is a version") {
  config::TestFleet Fleet(1, 4, true);
  Client Asker{Fleet};
  Asker.push(config::sampleDocument("a", 40), "p1");
  std::string Less = config::sampleDocument("b", 3);
  CHECK(Asker.push(Less, "p2").Error.empty());
  CHECK(textOf(Fleet) == Less);
  CHECK(Asker.push(Less, "p3").Error.empty());
  CHECK(textOf(Fleet) == Less);
}

TEST_CASE("a push on an older version is refused with what differs") {
  config::TestFleet Fleet(1, 5, true);
  Client Asker{Fleet};
  Asker.push(config::sampleDocument("a"), "p1");
  Asker.push(config::sampleDocument("b"), "p2");
  core::OperatorReply Reply = Asker.push(config::sampleDocument("c"), "p3", 1);
  CHECK(Reply.Error.find("came first") != std::string::npos);
  CHECK(Reply.Tables.size() == 1);
}

TEST_CASE("changes of another version, or in a wrong part, are refused") {
  config::TestFleet Fleet(1, 6, true);
  Client Asker{Fleet};
  Asker.push(config::sampleDocument("a"), "p1");
  core::ConfigPushCommand Push;
  Push.Push = base::PushId("p2");
  Push.Author = "ana";
  Push.BaseVersion = base::ConfigVersion(1);
  Push.DocumentHash = base::ContentHash("00");
  CHECK(Asker.ask(Push).Error == core::FullPushRequiredError);
  std::string Wrong = "workspaces:\n  w0: {limit: 9/s}\n";
  auto Held = *Fleet.Nodes[0].State.Config.Document.Parts;
  config::PartSet Next;
  Next.Parts = Held.Parts;
  Next.Parts["workspaces/0"] = config::makePart("workspaces/0", Wrong);
  REQUIRE(config::getWorkspacePartName(config::getWorkspaceBucket("w0")) !=
          "workspaces/0");
  Push.DocumentHash = config::hashManifest(Next);
  Push.ChangedParts = {{"workspaces/0", Wrong}};
  CHECK(Asker.ask(Push).Error.find("not in canonical form") !=
        std::string::npos);
  CHECK(Fleet.Nodes[0].State.Config.Document.Version.Value == 1);
}

} // namespace currantgauge::cli
