#include "currantgauge/base/verdict.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace currantgauge::base {

TEST_CASE("every reason has a unique name") {
  std::set<std::string> Names;
  for (int I = 0; I <= static_cast<int>(LastReason); ++I)
    Names.insert(std::string(reasonName(static_cast<Reason>(I))));
  CHECK(Names.size() == static_cast<std::size_t>(LastReason) + 1);
}

TEST_CASE("a reason converts to a std::error_code") {
  std::error_code Error = Reason::QueueFull;
  CHECK(Error.message() == "the queue is full");
  CHECK(bool(Error == Reason::QueueFull));
  CHECK_FALSE(bool(std::error_code(Reason::None)));
}

} // namespace currantgauge::base
