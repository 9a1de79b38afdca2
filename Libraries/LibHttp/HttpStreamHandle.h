/// \file
/// A response whose body is read incrementally.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPSTREAMHANDLE_H
#define BERGAMOTHOOK_LIBHTTP_HTTPSTREAMHANDLE_H

#include "LibBase/Result.h"
#include "LibHttp/HttpError.h"
#include "LibHttp/HttpRequest.h"
#include "LibTask/Runtime.h"

#include <memory>
#include <optional>

namespace bergamothook {

namespace detail {
class CurlLoop;
class Transfer;
} // namespace detail

/// Reads the body of a response. Destroying the handle ends the transfer and
/// closes its connection unless the body was read to its end.
class HttpStreamHandle {
public:
  HttpStreamHandle(Runtime Tasks, std::shared_ptr<detail::CurlLoop> Loop,
                   std::shared_ptr<detail::Transfer> State);
  ~HttpStreamHandle();
  HttpStreamHandle(HttpStreamHandle &&) = default;
  HttpStreamHandle &operator=(HttpStreamHandle &&) = delete;

  int status() const;
  const HttpHeaders &headers() const;

  /// Waits for the next bytes of the body. \returns nothing at the end of a
  /// complete body; HttpError::TimedOut at the deadline, after which next() may
  /// be called again; HttpError::ConnectionLost if the body is truncated.
  Result<std::optional<std::string>> next(TimePoint Deadline);

private:
  Runtime Tasks;
  std::shared_ptr<detail::CurlLoop> Loop;
  std::shared_ptr<detail::Transfer> State;
};

} // namespace bergamothook

#endif
