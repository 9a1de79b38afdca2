/// \file
/// An HTTP/1.1 client based on libcurl, for tasks of a real-time runtime.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPCLIENT_H
#define BERGAMOTHOOK_LIBHTTP_HTTPCLIENT_H

#include "LibHttp/HttpCall.h"
#include "LibHttp/HttpStreamHandle.h"

#include <memory>

namespace bergamothook {

namespace detail {
class CurlLoop;
} // namespace detail

/// Sends requests on its own thread and reuses connections. Never sends a
/// request twice, not even over a new connection after a reused one turned out
/// to be dead. The client must outlive its calls.
class HttpClient {
public:
  explicit HttpClient(Runtime Tasks);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Call and waits for the complete response.
  Result<HttpResponse> call(HttpCall Call, TimePoint Deadline);

  /// Sends \p Call and waits for the status and the headers of the response.
  Result<HttpStreamHandle> open(HttpCall Call, TimePoint Deadline);

private:
  Runtime Tasks;
  std::shared_ptr<detail::CurlLoop> Loop;
};

} // namespace bergamothook

#endif
