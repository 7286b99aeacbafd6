// What a node needs to speak with its surroundings, as data and free functions:
// the codecs of callers and backend servers, of announcements, of the store and
// of an announced configuration. Decisions never see it.
//
//   Adapter Spoken = nativeAdapter();
//   Self.Store.emplace(Settings.Platform, store::StoreLimits(), Spoken.Store);
#ifndef CURRANTGAUGE_RUNTIME_ADAPTER_H
#define CURRANTGAUGE_RUNTIME_ADAPTER_H

#include "currantgauge/config/assemble.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/http/service.h"
#include "currantgauge/routing/backend_server.h"
#include "currantgauge/store/encoding.h"

#include <optional>
#include <string>

namespace currantgauge::runtime {

// AnnouncementRead is what became of a request to the announcements' listener.
struct AnnouncementRead {
  bool Matched = false; // it is an announcement; else another service's
  std::optional<routing::Announcement> Word;
  std::string Error;  // why there is no Word
  std::string Answer; // body of the acknowledgement
};

// Adapter is one way to speak.
struct Adapter {
  http::HttpDialect Http;
  store::Encoding Store;
  config::AnnouncedConfigReader ReadConfig = nullptr;
  // Lease is how long the announced server lives without another word.
  AnnouncementRead (*ReadAnnouncement)(const http::ServiceRequest &,
                                       base::Duration Lease) = nullptr;
  std::string ReadinessPath; // beside /readyz; empty: none
};

// nativeAdapter() speaks this project's own protocols.
Adapter nativeAdapter();

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_ADAPTER_H
