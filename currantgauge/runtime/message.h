// The content of a request for a backend server. The reducer doesn't see it.
//
//   RequestMessagePtr Message(new RequestMessage);
#ifndef CURRANTGAUGE_RUNTIME_MESSAGE_H
#define CURRANTGAUGE_RUNTIME_MESSAGE_H

#include "currantgauge/runtime/memory_budget.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <string>
#include <utility>
#include <vector>

namespace currantgauge::runtime {

// HeaderList is the end-to-end header fields of a message, in order.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// RequestMessage is a complete request, shared by all its attempts.
struct RequestMessage
    : boost::intrusive_ref_counter<RequestMessage, boost::thread_safe_counter> {
  std::string Method;
  std::string Target;
  HeaderList Headers;
  std::string Body;
  MemoryHold Hold; // of Body
};

using RequestMessagePtr = boost::intrusive_ptr<RequestMessage>;

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_MESSAGE_H
