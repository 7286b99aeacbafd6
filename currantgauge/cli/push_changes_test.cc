#include "currantgauge/cli/push_changes.h"

#include "currantgauge/config/parts.h"
#include "currantgauge/config/test_fleet.h"
#include "currantgauge/http/operator_codec.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

namespace currantgauge::cli {
namespace {

constexpr std::size_t WorkspaceCount = 20000;
constexpr std::size_t MaxSmallPushBytes = 16 * 1024; // including the queries

std::string makeDocument(const std::string &Limit) {
  std::string Text = config::sampleDocument("a", WorkspaceCount);
  std::size_t Position = Text.find("w77: {limit: ") + 13;
  return Text.replace(Position, 4, Limit);
}

// Client queries the first node of a fleet and counts the encoded bytes sent.
struct Client {
  config::TestFleet &Fleet;
  std::size_t SentBytes = 0;

  core::OperatorReply query(const core::OperatorCommand &Query) {
    std::string Text = http::encodeCommand(Query);
    this->SentBytes += Text.size();
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
    auto SendQuery = [this](const core::OperatorCommand &Query) {
      return this->query(Query);
    };
    REQUIRE(planPush(Text, SendQuery, Push).empty());
    return this->query(Push);
  }
};

std::string getDocument(const config::TestFleet &Fleet) {
  return config::joinParts(*Fleet.Nodes[0].State.Config.Document.Parts);
}

} // namespace

TEST_CASE("a push of one change sends only the changed part") {
  for (bool Embedded : {true, false}) {
    config::TestFleet Fleet(1, 3, Embedded);
    Client Operator{Fleet};
    REQUIRE(Operator
                .push(config::joinParts(
                          *config::splitDocument(makeDocument("20/s"))),
                      "p1")
                .Error.empty());
    CHECK(Operator.SentBytes > WorkspaceCount * 20);
    for (const char *Limit : {"21/s", "22/s"}) {
      Operator.SentBytes = 0;
      std::string Next =
          config::joinParts(*config::splitDocument(makeDocument(Limit)));
      CHECK(Operator.push(Next, Limit).Error.empty());
      CHECK(Operator.SentBytes < MaxSmallPushBytes);
      CHECK(getDocument(Fleet) == Next);
    }
  }
}

TEST_CASE("a push removes parts and may change nothing") {
  config::TestFleet Fleet(1, 4, true);
  Client Operator{Fleet};
  Operator.push(config::sampleDocument("a", 40), "p1");
  std::string Smaller = config::sampleDocument("b", 3);
  CHECK(Operator.push(Smaller, "p2").Error.empty());
  CHECK(getDocument(Fleet) == Smaller);
  CHECK(Operator.push(Smaller, "p3").Error.empty());
  CHECK(getDocument(Fleet) == Smaller);
}

TEST_CASE("a push based on an older version is refused with the differences") {
  config::TestFleet Fleet(1, 5, true);
  Client Operator{Fleet};
  Operator.push(config::sampleDocument("a"), "p1");
  Operator.push(config::sampleDocument("b"), "p2");
  core::OperatorReply Reply =
      Operator.push(config::sampleDocument("c"), "p3", 1);
  CHECK(Reply.Error.find("came first") != std::string::npos);
  CHECK(Reply.Tables.size() == 1);
}

TEST_CASE("changes to another version or in the wrong part are refused") {
  config::TestFleet Fleet(1, 6, true);
  Client Operator{Fleet};
  Operator.push(config::sampleDocument("a"), "p1");
  core::ConfigPushCommand Push;
  Push.Push = base::PushId("p2");
  Push.Author = "ana";
  Push.BaseVersion = base::ConfigVersion(1);
  Push.ManifestHash = base::ContentHash("00");
  CHECK(Operator.query(Push).Error == core::FullPushRequiredError);
  std::string MisplacedText = "workspaces:\n  w0: {limit: 9/s}\n";
  auto Current = *Fleet.Nodes[0].State.Config.Document.Parts;
  config::PartSet Next;
  Next.Parts = Current.Parts;
  Next.Parts["workspaces/0"] = config::makePart("workspaces/0", MisplacedText);
  REQUIRE(config::getWorkspacePartName(config::getWorkspaceBucket("w0")) !=
          "workspaces/0");
  Push.ManifestHash = config::hashManifest(Next);
  Push.ChangedParts = {{"workspaces/0", MisplacedText}};
  CHECK(Operator.query(Push).Error.find("not in canonical form") !=
        std::string::npos);
  CHECK(Fleet.Nodes[0].State.Config.Document.Version.Value == 1);
}

} // namespace currantgauge::cli
