/// \file
/// The handle through which a service responds to an HTTP request.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPREPLY_H
#define BERGAMOTHOOK_LIBHTTP_HTTPREPLY_H

#include "LibHttp/HttpRequest.h"

#include <memory>

namespace bergamothook {

namespace detail {
class ReplyState;
} // namespace detail

/// Sends the response to one request, from any thread. Copies refer to the same
/// request. If the last copy is destroyed before the response is complete, the
/// client gets status 500 or, if the stream has begun, an aborted connection,
/// so that it can't mistake a truncated response for a complete one.
class HttpReply {
public:
  explicit HttpReply(std::shared_ptr<detail::ReplyState> State);

  /// Sends a complete response.
  void sendResponse(int Status, const std::string &ContentType,
                    const std::string &Body,
                    const HttpHeaders &ExtraHeaders = {});

  /// Sends the status and the headers of a response whose body is streamed with
  /// write().
  void beginStream(int Status, const std::string &ContentType,
                   const HttpHeaders &ExtraHeaders = {});

  /// Sends one chunk of a streamed body. \returns false if the client has
  /// disconnected, or was disconnected because it left too many bytes unread.
  bool write(const std::string &Chunk);

  /// Completes a streamed body.
  void end();

  /// Aborts the connection, so that the client sees an incomplete response.
  void abort();

  bool isClientDisconnected() const;

private:
  std::shared_ptr<detail::ReplyState> State;
};

} // namespace bergamothook

#endif
