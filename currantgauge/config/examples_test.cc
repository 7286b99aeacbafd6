#include "currantgauge/config/document.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace currantgauge::config {
namespace {

std::vector<ConfigFile> readExample(const std::string &Example) {
  std::vector<ConfigFile> Files;
  for (const auto &Entry : std::filesystem::directory_iterator(
           std::string(CURRANTGAUGE_SOURCE_DIR) + "/examples/" + Example)) {
    std::ifstream File(Entry.path());
    Files.push_back({Entry.path().filename().string(),
                     {std::istreambuf_iterator<char>(File), {}}});
  }
  return Files;
}

ConfigurationPtr checkExample(const std::string &Example) {
  SettingsErrors Errors;
  Document Merged = mergeDocument(readExample(Example), Errors);
  ConfigurationPtr Config = checkDocument(Merged, Errors);
  for (const SettingsError &Error : Errors)
    FAIL_CHECK(formatError(Error));
  return Config;
}

} // namespace

TEST_CASE("the example waitaha is valid") {
  ConfigurationPtr Config = checkExample("waitaha");
  REQUIRE(Config);
  CHECK(Config->Services.size() == 2);
  const KindSettings *Commit = findKind(*Config, "POST", "/cut-orders/7");
  REQUIRE(Commit);
  CHECK_FALSE(Commit->Idempotent);
  CHECK(Commit->Deadline == base::seconds(4));
}

TEST_CASE("the example okonkwo is valid") {
  ConfigurationPtr Config = checkExample("okonkwo");
  REQUIRE(Config);
  CHECK(Config->Services.size() == 2);
  const KindSettings *Dispatch = findKind(*Config, "POST", "/dispatches");
  REQUIRE(Dispatch);
  CHECK_FALSE(Dispatch->Idempotent);
  CHECK_FALSE(Config->AcceptUnlistedWorkspaces);
}

} // namespace currantgauge::config
