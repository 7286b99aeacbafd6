#include "currantgauge/config/node_settings.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::config {
namespace {

const std::string Identity =
    "name: a-1\nregion: north\nfailure_domain: north-a\n";

bool mentions(const SettingsErrors &Errors, const std::string &Text) {
  for (const SettingsError &Error : Errors)
    if (formatError(Error).find(Text) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST_CASE("node settings with many keys are parsed without errors") {
  SettingsErrors Errors;
  NodeSettings Settings =
      parseNodeSettings(Identity + "listen:\n"
                                   "  callers: 10.0.0.7:80\n"
                                   "  peers: 10.0.0.7:81\n"
                                   "  operators: 10.0.0.7:82\n"
                                   "  announcements: '[::1]:83'\n"
                                   "advertise: {peers: 192.0.2.7:81}\n"
                                   "seeds: [10.0.0.8:81]\n"
                                   "platform: 10.0.0.9:90\n"
                                   "operators: {token: t, certificate: c.pem, "
                                   "key: k.pem}\n"
                                   "actions: {secret: s}\n"
                                   "limits: {header: 8KiB, body: 2MiB, "
                                   "answer_buffer: 1KiB, caller_idle: 1m, "
                                   "caller_read: 250ms, stop: 5s}\n"
                                   "traffic_threads: 3\n"
                                   "log_level: debug\n",
                        "node.yaml", Errors);
  for (const SettingsError &Error : Errors)
    MESSAGE(formatError(Error));
  CHECK(Errors.empty());
  CHECK(Settings.PeerAddress.Value == "10.0.0.7:81");
  CHECK(Settings.AdvertisedPeerAddress.Value == "192.0.2.7:81");
  CHECK(Settings.Seeds.size() == 1);
  CHECK_FALSE(Settings.Embedded);
  CHECK(Settings.HeaderLimit.Bytes == 8192);
  CHECK(Settings.CallerReadTimeout == base::milliseconds(250));
  CHECK(Settings.OperatorToken == "t");
}

TEST_CASE("all errors in node settings are reported in one pass") {
  SettingsErrors Errors;
  parseNodeSettings("name: a\n"
                    "region: [north]\n"
                    "listen:\n"
                    "  caller: 1.2.3.4:80\n"
                    "  peers: localhost:81\n"
                    "limits: {body: 64}\n"
                    "traffic_threads: 0\n"
                    "log_level: loud\n",
                    "node.yaml", Errors);
  CHECK(mentions(Errors, "node.yaml:1:1: failure_domain is missing"));
  CHECK(mentions(Errors, "node.yaml:2:9: region must be a single value"));
  CHECK(mentions(Errors, "node.yaml:4:3: unknown key listen.caller; did you "
                         "mean callers?"));
  CHECK(mentions(Errors, "node.yaml:5:3: listen.peers: \"localhost:81\""));
  CHECK(mentions(Errors, "node.yaml:6:10: limits.body: \"64\""));
  CHECK(mentions(Errors, "node.yaml:7:1: traffic_threads must be"));
  CHECK(mentions(Errors, "node.yaml:8:1: log_level"));
  CHECK(Errors.size() == 7);
}

TEST_CASE("a shutdown ends before the process is killed, however long it has") {
  for (std::int64_t Grace : {6, 10}) {
    SettingsErrors Errors;
    NodeSettings Settings = parseNodeSettings(
        Identity + "limits: {grace: " + std::to_string(Grace) +
            "s, stop_linger: 2s}\n",
        "node.yaml", Errors);
    CHECK(Errors.empty());
    CHECK(Settings.StopLimit == base::seconds(Grace) - base::milliseconds(600));
  }
}

TEST_CASE("a grace time that leaves no time to stop is refused") {
  SettingsErrors Errors;
  parseNodeSettings(Identity + "limits: {grace: 600ms}\n", "node.yaml", Errors);
  CHECK(mentions(Errors, "limits.grace must be above 600ms"));
  parseNodeSettings(Identity + "limits: {grace: 5s, stop: 4s}\n", "node.yaml",
                    Errors);
  CHECK(mentions(Errors, "limits.grace must not be set together with stop"));
  parseNodeSettings(Identity + "limits: {grace: 2s, stop_linger: 2s}\n",
                    "node.yaml", Errors);
  CHECK(mentions(Errors, "limits.stop_linger must not be above the limit of a "
                         "stop, 1400ms"));
}

TEST_CASE("a node advertises its listening address or a configured one") {
  SettingsErrors Errors;
  NodeSettings Implicit = parseNodeSettings(
      Identity + "listen: {peers: 10.0.0.7:81}\n", "n.yaml", Errors);
  CHECK(Implicit.AdvertisedPeerAddress.Value == "10.0.0.7:81");
  NodeSettings Explicit = parseNodeSettings(
      Identity + "listen: {peers: 0.0.0.0:81}\nadvertise: {peers: "
                 "10.0.0.7:81}\n",
      "n.yaml", Errors);
  CHECK(Explicit.PeerAddress.Value == "0.0.0.0:81");
  CHECK(Explicit.AdvertisedPeerAddress.Value == "10.0.0.7:81");
  CHECK(Errors.empty());
}

TEST_CASE("an unspecified or malformed address can't be advertised") {
  for (const char *Listen :
       {"listen: {peers: 0.0.0.0:81}\n", "listen: {peers: '[::]:81'}\n",
        "advertise: {peers: 0.0.0.0:81}\n"}) {
    CAPTURE(Listen);
    SettingsErrors Errors;
    parseNodeSettings(Identity + Listen, "n.yaml", Errors);
    CHECK(mentions(Errors, "advertise.peers must be an address"));
  }
  SettingsErrors Errors;
  parseNodeSettings(Identity + "advertise: {peers: here:81}\n", "n.yaml",
                    Errors);
  CHECK(mentions(Errors, "advertise.peers: \"here:81\""));
  CHECK(Errors.size() == 1);
}

TEST_CASE("a token is required if other VMs can reach the operator listener") {
  SettingsErrors Errors;
  parseNodeSettings(Identity + "listen: {operators: 0.0.0.0:82}\n", "n.yaml",
                    Errors);
  CHECK(mentions(Errors, "operators.token is missing"));
}

} // namespace currantgauge::config
