/// \file
/// A complete HTTP request as passed to a server's handler.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPREQUEST_H
#define BERGAMOTHOOK_LIBHTTP_HTTPREQUEST_H

#include <map>
#include <string>

namespace bergamothook {

/// Header values by lowercase name.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  std::string Method;
  std::string Path;
  /// The query string, without the question mark.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;

  /// Returns the header with the lowercase name \p Name, or an empty string.
  std::string header(const std::string &Name) const;

  /// Returns the decoded value of the query parameter \p Name, or an empty
  /// string.
  std::string parameter(const std::string &Name) const;
};

} // namespace bergamothook

#endif
