#include "currantgauge/config/document.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::config {
namespace {

const char *const BaseText =
    "ranks:\n"
    "  urgent: {order: 0, share: 60%, deadline: 2s}\n"
    "  normal: {order: 1, share: 30%, deadline: 5s}\n"
    "services:\n"
    "  cutlist: {floor: 60%, hold_off: 5s}\n"
    "kinds:\n"
    "  read: {service: cutlist, rank: normal}\n"
    "routes:\n"
    "  lists: {method: GET, prefix: /lists, kind: read}\n";

bool mentions(const SettingsErrors &Errors, const std::string &Text) {
  for (const SettingsError &Error : Errors)
    if (formatError(Error).find(Text) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST_CASE("a later file overrides single keys and removes them with null") {
  SettingsErrors Errors;
  std::string Text = mergeFiles(
      {{"20.yaml", "services:\n  cutlist: {floor: 70%, hold_off: ~}\n"
                   "routes:\n  lists: null\n"},
       {"10.yaml", BaseText}},
      Errors);
  CHECK(Errors.empty());
  ConfigurationPtr Config = parseDocument(Text, "merged", Errors);
  REQUIRE(Config);
  const ServiceSettings &Cutlist =
      Config->Services.at(base::ServiceName("cutlist"));
  CHECK(Cutlist.Floor.Value == 70);
  CHECK(Cutlist.HoldOff == ServiceSettings().HoldOff);
  CHECK(Config->Routes.empty());
}

TEST_CASE("a kind inherits a missing deadline from its rank") {
  SettingsErrors Errors;
  ConfigurationPtr Config = parseDocument(BaseText, "base.yaml", Errors);
  REQUIRE(Config);
  CHECK(Config->Kinds.at(base::KindName("read")).Deadline == base::seconds(5));
}

TEST_CASE("errors name file, line, column and the nearest known key") {
  SettingsErrors Errors;
  Document Merged =
      mergeDocument({{"10.yaml", BaseText},
                     {"20.yaml", "services:\n"
                                 "  cutlist: {flor: 60%, hold_off: 5}\n"
                                 "kinds:\n"
                                 "  write: {service: cutlst, rank: normal}\n"
                                 "rutes:\n"
                                 "  x: {}\n"}},
                    Errors);
  CHECK_FALSE(checkDocument(Merged, Errors));
  CHECK(mentions(Errors, "20.yaml:2:13: unknown key services.cutlist.flor; "
                         "did you mean floor?"));
  CHECK(mentions(Errors, "20.yaml:2:24: services.cutlist.hold_off: \"5\" is "
                         "not a duration with its unit"));
  CHECK(mentions(Errors, "20.yaml:4:11: kinds.write.service: there is no "
                         "service cutlst; did you mean cutlist?"));
  CHECK(mentions(Errors, "unknown key rutes; did you mean routes?"));
  CHECK(Errors.size() == 4);
}

TEST_CASE("invalid floors, shares and routes are rejected") {
  SettingsErrors Errors;
  Document Merged = mergeDocument(
      {{"10.yaml", BaseText},
       {"20.yaml", "ranks:\n"
                   "  spare: {order: 1, share: 20%}\n"
                   "services:\n"
                   "  cutlist: {floor: 100%}\n"
                   "kinds:\n"
                   "  late: {service: cutlist, rank: spare}\n"
                   "  write: {service: cutlist, rank: urgent, "
                   "idempotent: false, hedge: true}\n"
                   "routes:\n"
                   "  again: {method: GET, prefix: /lists, kind: read}\n"
                   "  bad: {prefix: lists/, kind: read}\n"}},
      Errors);
  CHECK_FALSE(checkDocument(Merged, Errors));
  CHECK(mentions(Errors, "add up to more than 100%"));
  CHECK(mentions(Errors, "services.cutlist.floor must be below 100%"));
  CHECK(mentions(Errors, "is already used by rank normal"));
  CHECK(mentions(Errors, "can't be hedged"));
  CHECK(mentions(Errors, "has the same method and prefix"));
  CHECK(mentions(Errors, "must start with a slash"));
  CHECK(mentions(Errors, "kinds.late.deadline is missing"));
}

TEST_CASE("a null for an unknown entry and a duplicate key are errors") {
  SettingsErrors Errors;
  mergeFiles({{"a.yaml", "routes:\n  x: null\n"}}, Errors);
  CHECK(mentions(Errors, "null removes routes.x"));
  Errors.clear();
  mergeFiles({{"a.yaml", "routes:\n  x: {kind: a, kind: b}\n"}}, Errors);
  CHECK(mentions(Errors, "routes.x.kind is given more than once"));
}

TEST_CASE("merging a document in canonical form does not change it") {
  SettingsErrors Errors;
  std::string Once = mergeFiles(
      {{"a.yaml", "fleet: {unlisted_workspaces: refuse}\nroutes:\n"
                  "  x: {prefix: \"/a b\\\"\\\\\\n\", kind: \"\"}\n"}},
      Errors);
  CHECK(mergeFiles({{"b.yaml", Once}}, Errors) == Once);
  CHECK(Errors.empty());
}

} // namespace currantgauge::config
