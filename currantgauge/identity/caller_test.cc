#include "currantgauge/identity/caller.h"

#include "currantgauge/config/document.h"
#include "currantgauge/identity/key_hash.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::identity {
namespace {

const std::string Base =
    "services:\n  cutlist: {}\n"
    "ranks:\n  normal: {order: 1, deadline: 2s}\n  urgent: {order: 0}\n"
    "kinds:\n  read: {service: cutlist, rank: normal, worth: 3}\n"
    "routes:\n  lists: {prefix: /lists/, kind: read}\n"
    "  open: {prefix: /open/, kind: read, public: true}\n";

const std::string Workspaces =
    "workspaces:\n  depot: {keys: [key-a, key-b], rank: urgent}\n"
    "  yard: {keys: key-c}\n";

config::ConfigurationPtr parse(const std::string &Text) {
  config::SettingsErrors Errors;
  config::ConfigurationPtr Config =
      config::parseDocument(Text, "test.yaml", Errors);
  REQUIRE(Errors.empty());
  return Config;
}

struct Request {
  core::RequestFacts Facts;
  config::KindSettings Kind;
  base::Reason Reason;
};

Request request(const config::ConfigurationPtr &Config, const std::string &Path,
                const std::string &Key) {
  Request Made;
  Made.Facts.Workspace = base::WorkspaceName("named-by-the-caller");
  Made.Facts.Key = hashKey(Key);
  config::RouteMatch Match = config::matchRoute(*Config, {{}, "GET", Path});
  REQUIRE(Match.Route);
  Made.Kind = config::getRequestSettings(Match, 0);
  Made.Reason = applyCallerKey(*Config, *Match.Route, Made.Facts, Made.Kind);
  return Made;
}

} // namespace

TEST_CASE("the key decides the workspace, whatever the caller names") {
  auto Config = parse("fleet: {callers: by_key}\n" + Base + Workspaces);
  for (const char *Key : {"key-a", "key-b"}) {
    Request Made = request(Config, "/lists/7", Key);
    CHECK(Made.Reason == base::Reason::None);
    CHECK(Made.Facts.Workspace.Value == "depot");
  }
  CHECK(request(Config, "/lists/7", "key-c").Facts.Workspace.Value == "yard");
}

TEST_CASE("a workspace's rank replaces that of the kind, but not its worth") {
  auto Config = parse("fleet: {callers: by_key}\n" + Base + Workspaces);
  Request Depot = request(Config, "/lists/7", "key-a");
  CHECK(Depot.Kind.Rank.Value == "urgent");
  CHECK(Depot.Kind.Worth == 3);
  CHECK(request(Config, "/lists/7", "key-c").Kind.Rank.Value == "normal");
}

TEST_CASE("a request without a known key is refused") {
  auto Config = parse("fleet: {callers: by_key}\n" + Base + Workspaces);
  for (const char *Key : {"", "key-d", "depot", "key-a, key-b"}) {
    CAPTURE(Key);
    CHECK(request(Config, "/lists/7", Key).Reason == base::Reason::UnknownKey);
  }
}

TEST_CASE("a request of a public route needs no key and has no workspace") {
  auto Config = parse("fleet: {callers: by_key}\n" + Base + Workspaces);
  for (const char *Key : {"", "key-a", "key-d"}) {
    Request Made = request(Config, "/open/7", Key);
    CHECK(Made.Reason == base::Reason::None);
    CHECK(Made.Facts.Workspace.empty());
    CHECK(Made.Kind.Rank.Value == "normal");
  }
}

TEST_CASE("without workspaces, a fleet that requires keys refuses all but "
          "public routes") {
  auto Config = parse("fleet: {callers: by_key}\n" + Base);
  CHECK(request(Config, "/lists/7", "key-a").Reason ==
        base::Reason::UnknownKey);
  CHECK(request(Config, "/lists/7", "").Reason == base::Reason::UnknownKey);
  CHECK(request(Config, "/open/7", "").Reason == base::Reason::None);
}

TEST_CASE("where keys aren't required, nothing changes") {
  auto Config = parse(Base + Workspaces);
  Request Made = request(Config, "/lists/7", "key-a");
  CHECK(Made.Reason == base::Reason::None);
  CHECK(Made.Facts.Workspace.Value == "named-by-the-caller");
  CHECK(Made.Kind.Rank.Value == "normal");
}

} // namespace currantgauge::identity
