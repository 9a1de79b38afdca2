/// \file
/// A request that a client sends, and its whole answer.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPCALL_H
#define BERGAMOTHOOK_LIBHTTP_HTTPCALL_H

#include "LibBase/Time.h"
#include "LibHttp/HttpRequest.h"

#include <cstdint>
#include <string>

namespace bergamothook {

struct HttpCall {
  std::string Method = "GET";
  /// An IP number.
  std::string Address;
  std::uint16_t Port = 0;
  /// The path, with its query where there is one.
  std::string Path = "/";
  HttpHeaders Headers;
  std::string Body;
  /// Opens a connection for this call only. A kept connection may turn out to
  /// be dead, which leaves the outcome of the call unknown.
  bool UsesFreshConnection = false;
  bool UsesTls = false;
  /// The file of the certificate authority that the server's certificate is
  /// checked against; the system's own when empty.
  std::string AuthorityFile;
  Duration ConnectTimeout = std::chrono::seconds(2);
  std::size_t MaxResponseBytes = 64 << 20;
};

struct HttpResponse {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
};

} // namespace bergamothook

#endif
