// Parses the JSON by which backend servers announce themselves to a node.
//
//   std::string Error;
//   auto Announcement = parseAnnouncement("cutlist-1", Body, Error);
#ifndef CURRANTGAUGE_HTTP_ANNOUNCE_CODEC_H
#define CURRANTGAUGE_HTTP_ANNOUNCE_CODEC_H

#include "currantgauge/routing/backend_server.h"

#include <optional>
#include <string>

namespace currantgauge::http {

// parseAnnouncement() parses Text, the body of PUT /v1/servers/NAME. Returns
// none, with a message in Error, when it is malformed or Name is empty.
std::optional<routing::Announcement> parseAnnouncement(const std::string &Name,
                                                       const std::string &Text,
                                                       std::string &Error);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_ANNOUNCE_CODEC_H
