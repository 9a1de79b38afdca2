/// \file
/// An HTTP client's request and its complete response.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPCALL_H
#define BERGAMOTHOOK_LIBHTTP_HTTPCALL_H

#include "LibBase/Time.h"
#include "LibHttp/HttpRequest.h"

#include <cstdint>
#include <string>

namespace bergamothook {

struct HttpCall {
  std::string Method = "GET";
  /// An IP address.
  std::string Address;
  std::uint16_t Port = 0;
  /// The path, including the query if there is one.
  std::string Path = "/";
  HttpHeaders Headers;
  std::string Body;
  /// Opens a new connection that is used for this call only. A reused
  /// connection may turn out to be dead, which leaves the outcome of the call
  /// unknown.
  bool UsesFreshConnection = false;
  bool UsesTls = false;
  /// The CA certificate file that the server's certificate is verified against;
  /// the system's CA certificates if empty.
  std::string CaFile;
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
