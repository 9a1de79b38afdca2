/// \file
/// A whole HTTP request as a server's handler gets it.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPREQUEST_H
#define BERGAMOTHOOK_LIBHTTP_HTTPREQUEST_H

#include <map>
#include <string>

namespace bergamothook {

/// Headers by their names in lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  std::string Method;
  std::string Path;
  /// The part behind the question mark, without it.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;

  /// Gives the header named in lower case, or an empty text.
  std::string header(const std::string &Name) const;

  /// Gives the value of the query's parameter \p Name, decoded, or an empty
  /// text.
  std::string parameter(const std::string &Name) const;
};

} // namespace bergamothook

#endif
