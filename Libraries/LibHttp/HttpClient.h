/// \file
/// An HTTP/1.1 client over libcurl for tasks of a runtime on real time.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPCLIENT_H
#define BERGAMOTHOOK_LIBHTTP_HTTPCLIENT_H

#include "LibHttp/HttpCall.h"
#include "LibHttp/HttpStreamHandle.h"

#include <memory>

namespace bergamothook {

namespace detail {
class CurlLoop;
} // namespace detail

/// Sends requests on one thread of its own and keeps connections for reuse. No
/// request is ever sent twice, also not over a fresh connection when a kept one
/// turns out to be dead. It must outlive its calls.
class HttpClient {
public:
  explicit HttpClient(Runtime Tasks);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Call and waits for the whole answer.
  Result<HttpResponse> call(HttpCall Call, TimePoint Deadline);

  /// Sends \p Call and waits for the status and the headers of its answer.
  Result<HttpStreamHandle> open(HttpCall Call, TimePoint Deadline);

private:
  Runtime Tasks;
  std::shared_ptr<detail::CurlLoop> Loop;
};

} // namespace bergamothook

#endif
