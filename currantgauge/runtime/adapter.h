// The external protocols of a node, as data and free functions: the codecs for
// callers and backend servers, for announcements, for the store and for
// configurations from the store's change feed. The reducer doesn't depend on
// them.
//
//   Adapter Protocols = nativeAdapter();
//   Self.Store.emplace(Settings.PlatformAddress, store::StoreLimits(),
//                      Protocols.Store);
#ifndef CURRANTGAUGE_RUNTIME_ADAPTER_H
#define CURRANTGAUGE_RUNTIME_ADAPTER_H

#include "currantgauge/config/assemble.h"
#include "currantgauge/config/node_settings.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/http/service.h"
#include "currantgauge/routing/backend_server.h"
#include "currantgauge/store/encoding.h"

#include <optional>
#include <string>

namespace currantgauge::runtime {

// ParsedAnnouncement is the result of parsing a request to the announcement
// listener.
struct ParsedAnnouncement {
  bool Matched = false; // false: not an announcement, other fields unset
  std::optional<routing::Announcement> Announcement;
  std::string Error;      // why Announcement is not set
  std::string AnswerBody; // body of the success response
};

// Adapter is one set of external protocols.
struct Adapter {
  http::HttpDialect Http;
  store::Encoding Store;
  // Converts rows of the change feed; null: announced configurations are
  // refused.
  config::AnnouncedConfigReader ReadConfig = nullptr;
  // Parses an announcement. Lease is how long the server stays registered
  // without a renewal.
  ParsedAnnouncement (*ReadAnnouncement)(const http::ServiceRequest &,
                                         base::Duration Lease) = nullptr;
  // Sets the policies that the platform's terms call for; null: none.
  void (*ApplyTerms)(const std::string &Terms,
                     config::NodeSettings &Settings) = nullptr;
  std::string ReadinessPath; // in addition to /readyz; empty: none
};

// nativeAdapter() returns the adapter of this project's own protocols.
Adapter nativeAdapter();

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_ADAPTER_H
