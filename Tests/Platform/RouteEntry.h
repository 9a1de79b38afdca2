/// \file
/// Builds entries of the platform's configuration for tests.

#ifndef BERGAMOTHOOK_TESTS_PLATFORM_ROUTEENTRY_H
#define BERGAMOTHOOK_TESTS_PLATFORM_ROUTEENTRY_H

#include <nlohmann/json.hpp>
#include <string>

namespace bergamothook {

/// \returns a public route with one service and ample time.
inline nlohmann::json makeRouteEntry(const std::string &Name,
                                     const std::string &Host,
                                     const std::string &Path,
                                     const std::string &Kind,
                                     const std::string &Service) {
  return {{"name", Name},      {"host", Host},       {"pathPrefix", Path},
          {"routeKind", Kind}, {"service", Service}, {"timeoutMs", 20000},
          {"sloMs", 1000},     {"priority", 1},      {"attempts", 1},
          {"public", true}};
}

} // namespace bergamothook

#endif
