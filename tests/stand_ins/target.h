// A request's target, split and decoded, for the stand-ins of both stores.
//
//   Target Where = parseTarget(Request.target());
//   if (Where.Parts[0] == "tables") read(Where.Query["after"]);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_TARGET_H
#define CURRANTGAUGE_TESTS_STAND_INS_TARGET_H

#include <boost/utility/string_view.hpp>

#include <map>
#include <string>
#include <vector>

namespace currantgauge::stand_ins {

// Target is a path split at "/" and its query, both decoded.
struct RequestTarget {
  std::vector<std::string> Parts;
  std::map<std::string, std::string> Query;
};

// parseTarget() takes a target in origin form.
RequestTarget parseTarget(boost::string_view Raw);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_TARGET_H
