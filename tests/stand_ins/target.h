// Splits and decodes the target of a request, for both stores of the platform
// stand-in.
//
//   RequestTarget Target = parseTarget(Request.target());
//   if (Target.Parts[0] == "tables") read(Target.Query["after"]);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_TARGET_H
#define CURRANTGAUGE_TESTS_STAND_INS_TARGET_H

#include <boost/utility/string_view.hpp>

#include <map>
#include <string>
#include <vector>

namespace currantgauge::stand_ins {

// RequestTarget is a path split at "/" and its query parameters, both
// percent-decoded.
struct RequestTarget {
  std::vector<std::string> Parts;
  std::map<std::string, std::string> Query;
};

// parseTarget() parses a target in origin form.
RequestTarget parseTarget(boost::string_view Raw);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_TARGET_H
