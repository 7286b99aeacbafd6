// A request's bytes on their way to a backend server. Decisions never see them.
//
//   RequestMessagePtr Message(new RequestMessage);
#ifndef CURRANTGAUGE_RUNTIME_MESSAGE_H
#define CURRANTGAUGE_RUNTIME_MESSAGE_H

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <string>
#include <utility>
#include <vector>

namespace currantgauge::runtime {

// HeaderList is end-to-end header fields in their order.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// RequestMessage is a whole request, shared by the attempts of it.
struct RequestMessage
    : boost::intrusive_ref_counter<RequestMessage, boost::thread_safe_counter> {
  std::string Method;
  std::string Target;
  HeaderList Headers;
  std::string Body;
};

using RequestMessagePtr = boost::intrusive_ptr<RequestMessage>;

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_MESSAGE_H
