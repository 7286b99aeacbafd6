#include "currantgauge/http/operator_codec.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>

namespace currantgauge::http {

TEST_CASE("every command is unchanged by encoding and parsing") {
  core::ConfigPushCommand Push;
  Push.Text = "ranks:\n  \"a\": {order: 0}\n";
  Push.BaseVersion = base::ConfigVersion(7);
  Push.Push = base::PushId("p-1");
  Push.Author = "ana";
  core::ConfigPushCommand Changes = Push;
  Changes.Text.clear();
  Changes.ManifestHash = base::ContentHash("1f");
  Changes.ChangedParts = {{"base", "ranks:\n"}};
  Changes.RemovedParts = {"routes/1f"};
  const core::OperatorCommand Commands[] = {
      core::StatusCommand{},
      core::ExplainCommand{base::RequestId{0x1f, 0x2a}},
      core::DrainCommand{base::BackendName("cutlist-1"), true},
      core::QuarantineListCommand{},
      core::QuarantineClearCommand{base::Fingerprint(0xffffffffffffffff)},
      core::ConfigShowCommand{base::ConfigVersion(4)},
      core::ConfigHistoryCommand{},
      core::MissingPartsCommand{{"group/1"},
                                {{"base", base::ContentHash("2a")}}},
      Changes,
      Push};
  for (const core::OperatorCommand &Command : Commands) {
    std::string Error;
    std::string Text = encodeCommand(Command);
    auto Parsed = parseCommand(Text, Error);
    REQUIRE_MESSAGE(Parsed, Error);
    CHECK(encodeCommand(*Parsed) == Text);
    CHECK(Parsed->index() == Command.index());
  }
}

TEST_CASE("a malformed command is rejected with a message") {
  for (const char *Text :
       {"", "[]", "{}", R"({"query":"nothing"})", R"({"query":"explain"})",
        R"({"query":"explain","request":"zz"})", R"({"query":7})",
        R"({"query":"config_lacks","groups":[1],"hashes":{}})",
        R"({"query":"config_push","text":"","base_version":"x"})"}) {
    std::string Error;
    CHECK_FALSE(parseCommand(Text, Error));
    CHECK_FALSE(Error.empty());
  }
}

TEST_CASE("a reply with invalid UTF-8 can be encoded and parsed") {
  core::OperatorReply Reply;
  Reply.Fields = {{"version", "3"}, {"author", "\xff"}};
  Reply.Tables = {{"nodes", {"node"}, {{"a"}, {"b"}}}};
  Reply.Text = "ranks:\n";
  core::OperatorReply Parsed = parseReply(encodeReply(Reply));
  CHECK(Parsed.Error.empty());
  CHECK(Parsed.Fields.front().second == "3");
  REQUIRE(Parsed.Tables.size() == 1);
  CHECK(Parsed.Tables.front().Rows == Reply.Tables.front().Rows);
  CHECK(Parsed.Text == Reply.Text);
  CHECK_FALSE(parseReply("<html>").Error.empty());
}

} // namespace currantgauge::http
